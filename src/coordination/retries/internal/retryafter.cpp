#include "coordination/retries/retryafter.h"

namespace ivyspar {

namespace {

/// Leaves the other half of the objective for the answer itself.
constexpr double MAX_OBJECTIVE_SHARE = 0.5;
/// No capacity becomes free within a shorter time: callers with an objective of 0.12 s that return
/// after 0.06 s find the service still full, and have used up their attempts.
constexpr Duration MIN_BOUND = std::chrono::milliseconds(300);
/// Callers that are refused together must not return together.
constexpr double JITTER_SHARE = 0.25;

} // namespace

Duration boundRetryAfter(Duration wanted, Duration objective, IRandom &random)
{
    const auto objectiveUs = static_cast<double>(objective.count());
    const Duration latest(static_cast<Duration::rep>(MAX_OBJECTIVE_SHARE * objectiveUs));
    if (latest < MIN_BOUND || wanted <= latest) {
        return wanted;
    }
    return Duration(static_cast<Duration::rep>((MAX_OBJECTIVE_SHARE - JITTER_SHARE * random.unit())
                                               * objectiveUs));
}

} // namespace ivyspar
