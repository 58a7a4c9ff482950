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
    Cancel, ///< An entry gave an attempt up whose answer is not wanted any more.
    Run, ///< A server's run of a call ended.
    Answer, ///< An entry answered a request.
    Configuration, ///< A configuration was judged, or is in force.
    Membership, ///< The daemons that are believed to work changed.
    Upstream, ///< What is believed of a server of this host changed.
    Dependency, ///< Something that this daemon needs was lost or is back.
    Quarantine, ///< A request is kept from servers that it would crash, or is not any more.
    Lifecycle, ///< Start, stop and reload of this daemon.
};

const char *toText(DecisionKind kind);

/// Whether the line must be there when somebody asks why a request failed, or whether it is one of
/// many that say that all went as usual.
enum class Importance { Routine, Essential };

struct DecisionCandidate
{
    DaemonId daemon;
    double score = 0; ///< Lower is better.
};

/// A number that a decision was based on.
struct DecisionInput
{
    /// Text that lives as long as the program; with its unit, as in `load_age_ms`.
    const char *name = "";
    double value = 0;
};

/// One decision and what it was based on. Fields that do not apply stay at their defaults and are
/// left out of the log's line.
struct Decision
{
    DecisionKind kind = DecisionKind::Route;
    Importance importance = Importance::Routine;
    /// The caller's request, the same at every daemon that works for it.
    RootId root;
    /// The call's own id, if it was made by an upstream for that request.
    RootId call;
    ServiceName service;
    RuleName rule;
    Rank rank;
    /// From 1.
    std::uint32_t attempt = 0;
    std::vector<DecisionCandidate> candidates;
    std::vector<DecisionInput> inputs;
    /// What was chosen: a daemon, a server, or a version of the configuration.
    std::string choice;
    /// Text that lives as long as the program.
    const char *outcome = "";
    const char *reason = "";
    /// Of the request, where what it does to servers matters.
    Fingerprint fingerprint;
    /// Of the caller, where the decision was made for its sake.
    AccountName account;
    /// What others said, as the text of an error.
    std::string detail;
};

/// Takes a line for each decision. Safe to use from all threads.
class IDecisionLog
{
public:
    virtual ~IDecisionLog() = default;

    /// False when lines go nowhere: lets a busy thread skip building the decision.
    virtual bool isEnabled() const = 0;
    /// Whether such a line has no room now; it is then counted as left out. Lets a busy thread skip
    /// building the decision: under load nine in ten lines are left out.
    virtual bool wouldDrop(DecisionKind kind, Importance importance, RootId root) = 0;
    /// Never waits for the file or the reader of the lines: drops and counts what does not fit.
    virtual void write(Decision decision) = 0;
};

} // namespace ivyspar
