#include "coordination/retries/returntime.h"

namespace ivyspar {

namespace {

/// The other half of the objective is for the answer itself.
constexpr double LATEST_RETURN = 0.5;
/// Callers that are refused together must not come back together.
constexpr double SPREAD = 0.25;

} // namespace

Duration withinObjective(Duration wanted, Duration objective, IRandom &random)
{
    const auto whole = static_cast<double>(objective.count());
    const auto latest = static_cast<Duration::rep>(LATEST_RETURN * whole);
    if (objective <= Duration::zero() || wanted.count() <= latest) {
        return wanted;
    }
    return Duration(static_cast<Duration::rep>((LATEST_RETURN - SPREAD * random.unit()) * whole));
}

} // namespace ivyspar
