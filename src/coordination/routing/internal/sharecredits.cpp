#include "coordination/routing/internal/sharecredits.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

void ShareCredits::setShares(const DomainShares &shares)
{
    const std::vector<Domain> former = std::exchange(m_domains, {});
    for (const DomainShare &each : shares.shares) {
        const auto known =
            std::find_if(former.begin(), former.end(),
                         [&each](const Domain &domain) { return domain.name == each.domain; });
        Domain domain = known == former.end() ? Domain{ each.domain } : *known;
        domain.share = each.share;
        m_domains.push_back(std::move(domain));
    }
    m_newsAt = shares.newsAt;
    m_own = shares.own;
}

void ShareCredits::clear()
{
    m_domains.clear();
}

const DomainName &ShareCredits::next(IRandom &random)
{
    for (Domain &domain : m_domains) {
        // All entries of a domain begin with the same shares. From equal credits they would send
        // their first calls to the same domain.
        if (!std::exchange(domain.isStarted, true)) {
            domain.credit = domain.share * random.unit();
        }
        domain.credit += domain.share;
    }
    const auto most =
        std::max_element(m_domains.begin(), m_domains.end(),
                         [](const Domain &a, const Domain &b) { return a.credit < b.credit; });
    most->credit -= 1;
    return most->name;
}

std::vector<DecisionInput> ShareCredits::inputs(TimePoint now, const DomainName &domain) const
{
    const auto found = std::find_if(m_domains.begin(), m_domains.end(),
                                    [&domain](const Domain &each) { return each.name == domain; });
    const auto age = std::chrono::duration_cast<Duration>(now - m_newsAt);
    return { { "domain_share", found == m_domains.end() ? 0 : found->share },
             { "domain_demand", m_own.demand },
             { "domain_capacity", m_own.capacity },
             { "news_age_ms", toMillis(age) } };
}

} // namespace ivyspar
