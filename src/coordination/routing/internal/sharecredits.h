#pragma once

#include <vector>

#include "coordination/balance/domainshares.h"
#include "state/idecisionlog.h"
#include "state/irandom.h"

namespace ivyspar {

/// Assigns the calls of one service to failure domains. Each domain gets its share of any series of
/// calls to within about one call. Plain object.
class ShareCredits
{
public:
    /// Keeps the credits of the domains that it already knows.
    void setShares(const DomainShares &shares);
    void clear();
    bool isActive() const { return !m_domains.empty(); }
    /// The domain of the next call. `isActive` must be true.
    const DomainName &next(IRandom &random);
    /// What a choice of that domain is based on.
    std::vector<DecisionInput> inputs(TimePoint now, const DomainName &domain) const;

private:
    struct Domain
    {
        DomainName name;
        double share = 0;
        double credit = 0;
        bool isStarted = false;
    };

    std::vector<Domain> m_domains;
    TimePoint m_newsAt;
    DomainWork m_own;
};

} // namespace ivyspar
