#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "state/ids.h"

namespace ivyspar {

enum class DecisionKind {
    Route, ///< An entry daemon chose the daemon for an attempt, or found none.
    Admit, ///< A gate let a call start.
    Refuse, ///< An entry daemon or a gate refused a call.
    Retry,
    Hedge,
    Cancel, ///< An entry daemon cancelled an attempt whose response is no longer needed.
    Lost, ///< An attempt ended at its entry daemon without an answer of the daemon it was sent to.
    Send, ///< One send of a call to a server ended.
    Run, ///< A server's run of a call ended.
    Answer, ///< An entry daemon answered a request.
    Undelivered, ///< A response did not reach its caller whole.
    Configuration, ///< A configuration was accepted, rejected or put in force.
    Membership, ///< The set of daemons that are considered alive changed.
    Upstream, ///< The known state of a server of this host changed.
    Dependency, ///< A dependency of this daemon became unavailable or available again.
    Quarantine, ///< A request that crashes servers was quarantined or released.
    Lifecycle, ///< Start, stop and reload of this daemon.
};

const char *toText(DecisionKind kind);

/// Essential lines are needed to explain why a request failed; routine lines record normal
/// operation and are dropped first.
enum class Importance { Routine, Essential };

struct DecisionCandidate
{
    DaemonId daemon;
    double score = 0; ///< Lower is better.
};

/// A number that a decision was based on.
struct DecisionInput
{
    /// String of static lifetime, with the unit as in `load_age_ms`.
    const char *name = "";
    double value = 0;
};

/// One decision and its inputs. Fields that do not apply keep their defaults and are omitted from
/// the log line.
struct Decision
{
    DecisionKind kind = DecisionKind::Route;
    Importance importance = Importance::Routine;
    /// Id of the caller's request, the same at every daemon that handles it.
    RootId root;
    /// Id of the call itself, if an upstream made it for that request.
    RootId call;
    ServiceName service;
    RuleName rule;
    Rank rank;
    /// Counted from 1; 0 if it does not apply.
    std::uint32_t attempt = 0;
    std::vector<DecisionCandidate> candidates;
    std::vector<DecisionInput> inputs;
    /// What was chosen: a daemon, a server, or a version of the configuration.
    std::string choice;
    /// Strings of static lifetime.
    const char *outcome = "";
    const char *reason = "";
    /// Fingerprint of the request, for decisions about requests that crash servers.
    Fingerprint fingerprint;
    /// Client account of the caller, if the decision depended on it.
    AccountName account;
    /// Further text, such as an error message of another component.
    std::string detail;
};

/// Log with one line for each decision. Thread-safe.
class IDecisionLog
{
public:
    virtual ~IDecisionLog() = default;

    /// False if lines are discarded: callers then need not build the decision.
    virtual bool isEnabled() const = 0;
    /// Whether such a line would be dropped now; it is then counted as dropped. Callers then need
    /// not build the decision: under load nine in ten lines are dropped.
    virtual bool wouldDrop(DecisionKind kind, Importance importance, RootId root) = 0;
    /// Never blocks on the output: lines that do not fit are dropped and counted.
    virtual void write(Decision decision) = 0;
};

} // namespace ivyspar
