#pragma once

#include <vector>

namespace ivyspar {

/// What the requests of one rule ask of a service.
struct RuleDemand
{
    /// Slot time, in µs a second.
    double rate = 0;
    /// Slot time of one request, in µs.
    double cost = 0;
};

/// Shares a capacity out between rules of one priority: of each rule's demand, the share that is
/// let in. Plain function.
///
/// With equal shares a request that costs twice as much takes the place of two others. By equal
/// slot time the dear rule would come down to a quarter of the other's share and starve at a narrow
/// service. In between, shares fall with the square root of the cost: where requests of 250 ms and
/// of 120 ms share a service that can take two thirds of them, a twentieth more callers are
/// served than with equal shares, and none of the rules gets less than two thirds of the other's
/// share.
///
/// All shares are 1 or more, and equal, if there is capacity for all.
std::vector<double> allocateShares(const std::vector<RuleDemand> &demands, double capacity);

} // namespace ivyspar
