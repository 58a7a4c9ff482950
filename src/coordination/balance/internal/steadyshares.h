#pragma once

#include <vector>

#include "coordination/balance/domainshares.h"

namespace ivyspar {

/// The shares of one service, which follow their targets with a lag: demand is measured from random
/// arrivals. A domain that appears or disappears takes effect at once. Plain object.
class SteadyShares
{
public:
    void update(TimePoint now, std::vector<DomainShare> targets, Duration timeConstant);
    const std::vector<DomainShare> &shares() const { return m_shares; }

private:
    std::vector<DomainShare> m_shares;
    TimePoint m_updatedAt;
};

} // namespace ivyspar
