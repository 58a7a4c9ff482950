#include "coordination/retries/returntime.h"

namespace ivyspar {

namespace {

/// The other half of the objective is for the answer itself.
constexpr double LATEST_RETURN = 0.5;
/// A shorter time is no time in which room comes free: sent back after 0.06 s, callers with an
/// objective of 0.12 s meet the same full service and have used up their tries.
constexpr Duration SHORTEST_BOUND = std::chrono::milliseconds(300);
/// Callers that are refused together must not come back together.
constexpr double SPREAD = 0.25;

} // namespace

Duration withinObjective(Duration wanted, Duration objective, IRandom &random)
{
    const auto whole = static_cast<double>(objective.count());
    const Duration latest(static_cast<Duration::rep>(LATEST_RETURN * whole));
    if (latest < SHORTEST_BOUND || wanted <= latest) {
        return wanted;
    }
    return Duration(static_cast<Duration::rep>((LATEST_RETURN - SPREAD * random.unit()) * whole));
}

} // namespace ivyspar
