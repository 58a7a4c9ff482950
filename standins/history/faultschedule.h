#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "state/time.h"

namespace ivyspar::lab {

enum class FaultKind {
    Kill, ///< SIGKILL of a daemon, which is started again at the end.
    Freeze, ///< SIGSTOP, and SIGCONT at the end.
    LogDown,
    LogSilent,
    LogSlow,
    AnswersLost, ///< Of the log, after the effect and before it.
    StaleReads,
    Drain, ///< A server announces that it leaves.
    Failing, ///< A server answers 500 to a share of its requests.
    Slow, ///< A server slows down.
    Partition, ///< A failure domain is cut off from the others.
    Crash, ///< A server crashes, and is back at the end.
    CrashingRequest, ///< A request that crashes its servers comes again and again.
    RateLimit, ///< A server states a low rate limit.
    OddRateLimit, ///< A server states text that is not a rate limit.
    Leaving, ///< A server states that it leaves; another run follows at the end.
};

struct Fault
{
    FaultKind kind = FaultKind::Kill;
    /// Host that it strikes, where that matters.
    std::size_t host = 0;
    /// From the start of the load.
    Duration begin{ 0 };
    Duration end{ 0 };
};

/// Faults drawn from a seed; they overlap.
std::vector<Fault> makeFaultSchedule(std::uint64_t seed, std::size_t hosts);
const char *toText(FaultKind kind);
/// Kinds and hosts, in the order of their beginning.
std::string describe(const std::vector<Fault> &faults);

} // namespace ivyspar::lab
