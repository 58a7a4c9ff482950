#pragma once

#include <map>
#include <optional>
#include <set>

#include "coordination/membership/imembership.h"
#include "coordination/membership/internal/membertable.h"
#include "state/irandom.h"

namespace ivyspar {

/// Where a daemon looks for others: endpoints from the settings or the log, many of them of daemons
/// long gone.
class SeedList
{
public:
    SeedList(DomainName domain, std::size_t maxSeeds);

    void add(const MembershipSeed &seed);
    /// The daemon there spoke.
    void markContacted(const Endpoint &endpoint) { m_uncontacted.erase(endpoint); }
    bool isEmpty() const { return m_seeds.empty(); }
    /// Whether some have not spoken yet.
    bool hasUncontacted() const { return !m_uncontacted.empty(); }
    /// Those of the own failure domain.
    std::size_t localCount() const { return m_localCount; }

    /// One that is not known to be up, and has not spoken yet if there is such a one: of any
    /// failure domain, or of the own one if `isFarWanted` is false. Nothing if there is none.
    std::optional<Endpoint> choose(const MemberTable &table, bool isRemoteAllowed,
                                   IRandom &random) const;

private:
    std::vector<Endpoint> candidates(const MemberTable &table, bool isRemoteAllowed) const;
    bool isLocal(const DomainName &domain) const;

    DomainName m_domain;
    std::size_t m_maxSeeds;
    std::map<Endpoint, DomainName> m_seeds;
    std::set<Endpoint> m_uncontacted;
    std::size_t m_localCount = 0;
};

} // namespace ivyspar
