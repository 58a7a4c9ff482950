#include "coordination/admission/internal/fairshares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace ivyspar {

namespace {

/// Lower bound of the cost: a rule of unknown cost must not take the whole capacity.
constexpr double MIN_COST_US = 1000;

double weightOf(const RuleDemand &demand)
{
    return 1 / std::sqrt(std::max(demand.cost, MIN_COST_US));
}

} // namespace

std::vector<double> allocateShares(const std::vector<RuleDemand> &demands, double capacity)
{
    double totalDemand = 0;
    for (const RuleDemand &demand : demands) {
        totalDemand += demand.rate;
    }
    std::vector<double> shares(demands.size(), std::numeric_limits<double>::max());
    if (totalDemand <= 0) {
        return shares;
    }
    if (capacity >= totalDemand) {
        std::fill(shares.begin(), shares.end(), capacity / totalDemand);
        return shares;
    }
    // Rules whose demand is fully met leave the rest to the others. Each round settles at least one
    // rule.
    std::vector<bool> isSatisfied(demands.size(), false);
    bool isSettled = false;
    while (!isSettled) {
        double remaining = std::max(capacity, 0.0);
        double totalWeight = 0;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            remaining -= isSatisfied[i] ? demands[i].rate : 0;
            totalWeight += isSatisfied[i] ? 0 : demands[i].rate * weightOf(demands[i]);
        }
        isSettled = true;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            if (isSatisfied[i]) {
                continue;
            }
            shares[i] = totalWeight > 0 ? remaining / totalWeight * weightOf(demands[i]) : 1;
            isSatisfied[i] = shares[i] >= 1;
            isSettled = isSettled && !isSatisfied[i];
            shares[i] = std::min(shares[i], 1.0);
        }
    }
    return shares;
}

} // namespace ivyspar
