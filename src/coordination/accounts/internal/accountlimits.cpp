#include "coordination/accounts/iaccountlimits.h"

namespace ivyspar {

double meanRateOf(const AccountLimits &limits)
{
    if (limits.empty()) {
        return 1;
    }
    double sum = 0;
    for (const auto &[account, limit] : limits) {
        sum += limit.rate;
    }
    return sum / static_cast<double>(limits.size());
}

} // namespace ivyspar
