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
    Configuration, ///< A record of the configuration stream was judged.
    Membership, ///< A daemon or its upstream joined, left or was given up.
};

const char *toText(DecisionKind kind);

struct DecisionCandidate
{
    DaemonId daemon;
    double score = 0; ///< Lower is better.
};

/// One decision and what it was based on. Fields that do not apply stay at their defaults and are
/// left out of the log's line.
struct Decision
{
    DecisionKind kind = DecisionKind::Route;
    RootId root;
    ServiceName service;
    Rank rank;
    /// From 1.
    std::uint32_t attempt = 0;
    std::vector<DecisionCandidate> candidates;
    /// What was chosen: a daemon, or a version of the configuration.
    std::string choice;
    /// Text that lives as long as the program.
    const char *reason = "";
};

/// Takes a line for each decision. Safe to use from all threads.
class IDecisionLog
{
public:
    virtual ~IDecisionLog() = default;

    /// False when lines go nowhere: lets a busy thread skip building the decision.
    virtual bool isEnabled() const = 0;
    /// Never waits for the file or the reader of the lines: drops and counts what does not fit.
    virtual void write(Decision decision) = 0;
};

} // namespace ivyspar
