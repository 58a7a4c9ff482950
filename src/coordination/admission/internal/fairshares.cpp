#include "coordination/admission/internal/fairshares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace ivyspar {

namespace {

/// A cost that was not learnt yet must not get a rule all the room.
constexpr double LEAST_COST = 1000;

double weightOf(const RuleDemand &demand)
{
    return 1 / std::sqrt(std::max(demand.cost, LEAST_COST));
}

} // namespace

std::vector<double> shareOut(const std::vector<RuleDemand> &demands, double room)
{
    double asked = 0;
    for (const RuleDemand &demand : demands) {
        asked += demand.rate;
    }
    std::vector<double> shares(demands.size(), std::numeric_limits<double>::max());
    if (asked <= 0) {
        return shares;
    }
    if (room >= asked) {
        std::fill(shares.begin(), shares.end(), room / asked);
        return shares;
    }
    // Rules that get all they ask for leave the rest to the others. Each round settles one at
    // least.
    std::vector<bool> isWhole(demands.size(), false);
    bool isSettled = false;
    while (!isSettled) {
        double left = std::max(room, 0.0);
        double weighed = 0;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            left -= isWhole[i] ? demands[i].rate : 0;
            weighed += isWhole[i] ? 0 : demands[i].rate * weightOf(demands[i]);
        }
        isSettled = true;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            if (isWhole[i]) {
                continue;
            }
            shares[i] = weighed > 0 ? left / weighed * weightOf(demands[i]) : 1;
            isWhole[i] = shares[i] >= 1;
            isSettled = isSettled && !isWhole[i];
            shares[i] = std::min(shares[i], 1.0);
        }
    }
    return shares;
}

} // namespace ivyspar
