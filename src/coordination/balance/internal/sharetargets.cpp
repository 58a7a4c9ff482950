#include "coordination/balance/internal/sharetargets.h"

#include <algorithm>

namespace ivyspar {

namespace {

/// Below this demand, in slots, a domain is not short.
constexpr double NEGLIGIBLE_WORK = 1e-6;

/// What domains have too much, and the room of the others, at one utilization of all servers.
struct Plan
{
    double utilization = 1;
    double excess = 0;
    double room = 0;
};

double excessOf(const DomainWork &domain, double utilization)
{
    return std::max(domain.demand - utilization * domain.capacity, 0.0);
}

double roomOf(const DomainWork &domain, double utilization)
{
    return std::max(utilization * domain.capacity - domain.demand, 0.0);
}

Plan makePlan(const std::vector<DomainWork> &domains, double targetUtilization)
{
    double demand = 0;
    double capacity = 0;
    for (const DomainWork &each : domains) {
        demand += each.demand;
        capacity += each.capacity;
    }
    Plan plan;
    plan.utilization =
        capacity > 0 ? std::clamp(demand / capacity, targetUtilization, 1.0) : targetUtilization;
    for (const DomainWork &each : domains) {
        plan.excess += excessOf(each, plan.utilization);
        plan.room += roomOf(each, plan.utilization);
    }
    return plan;
}

} // namespace

std::optional<std::vector<DomainShare>> targetShares(const DomainName &own,
                                                     const std::vector<DomainWork> &domains,
                                                     double targetUtilization)
{
    const auto self = std::find_if(domains.begin(), domains.end(),
                                   [&own](const DomainWork &each) { return each.domain == own; });
    const Plan plan = makePlan(domains, targetUtilization);
    const auto serving = std::count_if(domains.begin(), domains.end(), [](const DomainWork &each) {
        return each.capacity > NEGLIGIBLE_WORK;
    });
    if (self == domains.end() || serving < 2 || plan.excess <= NEGLIGIBLE_WORK) {
        return std::nullopt;
    }
    // Only so much can be served. What neither the own servers nor the others have room for is
    // refused in the same proportion, wherever it was to go.
    const double fitting = std::min(1.0, plan.room / plan.excess);
    const double kept = std::min(self->demand, plan.utilization * self->capacity);
    const double sent = fitting * excessOf(*self, plan.utilization);
    if (kept + sent <= NEGLIGIBLE_WORK && self->capacity <= NEGLIGIBLE_WORK) {
        return std::nullopt;
    }
    const double keptShare = kept + sent > NEGLIGIBLE_WORK ? kept / (kept + sent) : 1;
    std::vector<DomainShare> shares;
    for (const DomainWork &each : domains) {
        const double room = plan.room > 0 ? roomOf(each, plan.utilization) / plan.room : 0;
        shares.push_back({ each.domain, &each == &*self ? keptShare : (1 - keptShare) * room });
    }
    return shares;
}

} // namespace ivyspar
