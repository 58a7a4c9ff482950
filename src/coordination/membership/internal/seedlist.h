#pragma once

#include <map>
#include <optional>
#include <set>

#include "coordination/membership/imembership.h"
#include "coordination/membership/internal/membertable.h"
#include "state/irandom.h"

namespace ivyspar {

/// Endpoints at which to look for other daemons, from the settings or the log. Many may belong to
/// daemons that no longer exist.
class SeedList
{
public:
    SeedList(DomainName domain, std::size_t maxSeeds);

    /// Ignores the seed if its endpoint is known or the list is full.
    void add(const MembershipSeed &seed);
    /// A message from the daemon at this endpoint was received.
    void markContacted(const Endpoint &endpoint) { m_uncontacted.erase(endpoint); }
    bool isEmpty() const { return m_seeds.empty(); }
    /// Whether there are seeds from which no message was received yet.
    bool hasUncontacted() const { return !m_uncontacted.empty(); }
    /// Number of seeds in the local failure domain.
    std::size_t localCount() const { return m_localCount; }

    /// A random seed that is not a member known to be up, or nothing. While there are uncontacted
    /// seeds, only these are considered; if `isRemoteAllowed` is false, only seeds whose failure
    /// domain is local or unknown.
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
