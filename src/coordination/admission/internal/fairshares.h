#pragma once

#include <vector>

namespace ivyspar {

/// Demand of the requests of one rule for a service.
struct RuleDemand
{
    /// Slot time, in µs per second.
    double rate = 0;
    /// Slot time per request, in µs.
    double cost = 0;
};

/// Allocates the capacity of a service among the rules of one priority. Returns the share of the
/// demand to admit for each rule, in the order of `demands`. `capacity` is slot time in µs per
/// second.
///
/// Equal shares let a request that costs twice as much displace two others. Equal slot time would
/// reduce the expensive rule to a quarter of the other's share and starve it at a bottleneck. As a
/// compromise, shares fall with the square root of the cost: where requests of 250 ms and of 120 ms
/// compete for a service that can take two thirds of them, 5 % more callers are served than with
/// equal shares, and no rule gets less than two thirds of the other's share.
///
/// If the capacity covers the demand, all shares are equal and at least 1.
std::vector<double> allocateShares(const std::vector<RuleDemand> &demands, double capacity);

} // namespace ivyspar
