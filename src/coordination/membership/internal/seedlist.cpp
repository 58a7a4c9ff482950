#include "coordination/membership/internal/seedlist.h"

#include <utility>

namespace ivyspar {

SeedList::SeedList(DomainName domain, std::size_t maxSeeds)
    : m_domain(std::move(domain))
    , m_maxSeeds(maxSeeds)
{
}

void SeedList::add(const MembershipSeed &seed)
{
    if (m_seeds.size() >= m_maxSeeds || !m_seeds.emplace(seed.endpoint, seed.domain).second) {
        return;
    }
    m_uncontacted.insert(seed.endpoint);
    m_localCount += seed.domain == m_domain ? 1 : 0;
}

std::optional<Endpoint> SeedList::choose(const MemberTable &table, bool isRemoteAllowed,
                                         IRandom &random) const
{
    const std::vector<Endpoint> found = candidates(table, isRemoteAllowed);
    if (found.empty()) {
        return std::nullopt;
    }
    return found[random.below(found.size())];
}

std::vector<Endpoint> SeedList::candidates(const MemberTable &table, bool isRemoteAllowed) const
{
    std::set<Endpoint> up;
    for (const auto &[id, entry] : table.entries()) {
        if (isUp(entry.health)) {
            up.insert(entry.member.peerEndpoint);
        }
    }
    std::vector<Endpoint> found;
    for (const auto &[endpoint, domain] : m_seeds) {
        const bool isWanted = m_uncontacted.empty() || m_uncontacted.count(endpoint) != 0;
        const bool isInReach = isRemoteAllowed || isLocal(domain);
        if (isWanted && isInReach && up.count(endpoint) == 0) {
            found.push_back(endpoint);
        }
    }
    return found;
}

/// A seed of unknown failure domain is treated as local.
bool SeedList::isLocal(const DomainName &domain) const
{
    return domain.value().empty() || domain == m_domain;
}

} // namespace ivyspar
