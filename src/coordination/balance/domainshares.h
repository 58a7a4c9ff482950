#pragma once

#include <unordered_map>
#include <vector>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// What a failure domain asks of a service and what its servers of the service can do. Both in
/// slots of usual speed: seconds of slot time per second.
struct DomainWork
{
    DomainName domain;
    double demand = 0;
    double capacity = 0;
};

struct DomainShare
{
    DomainName domain;
    /// Share of the calls, 0 to 1.
    double share = 0;
};

/// How a failure domain divides its calls to one service. The shares add up to 1.
struct DomainShares
{
    std::vector<DomainShare> shares;
    /// When the oldest sum that the shares depend on was made.
    TimePoint newsAt;
    /// The domain's own demand and capacity.
    DomainWork own;
};

/// Contains only services of which a failure domain is short.
using SharesByService = std::unordered_map<ServiceName, DomainShares>;

} // namespace ivyspar
