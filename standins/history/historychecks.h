#pragma once

#include <string>
#include <vector>

#include "standins/history/history.h"

namespace ivyspar::lab {

/// Each check returns a line for each violation, and nothing when the property holds.
using Violations = std::vector<std::string>;

/// Bounded attempts: no action started more work than its budget, over all its attempts.
Violations checkBudget(const History &history);
/// An action whose attempts were all told "not run" was never started.
Violations checkNotRun(const History &history);
/// An action that may run at most once was started once at most.
Violations checkOnce(const History &history);
/// An answer with status 200 is the whole answer to that very request, and the request ran.
Violations checkAnswers(const History &history, const CallGraph &graph);
/// No daemon went back to an older configuration.
Violations checkVersions(const History &history);
/// No action but that of the token was kept from servers because servers crashed under it.
Violations checkAccused(const History &history, const std::string &crasher);
/// All of the above but `checkAccused`.
Violations checkAll(const History &history, const CallGraph &graph);

/// Work of the whole tree that was started for a token.
std::uint32_t countStarts(const History &history, const std::string &token);
/// For messages: one violation a line.
std::string join(const Violations &violations);

} // namespace ivyspar::lab
