#pragma once

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "coordination/accounts/iaccountlimits.h"

namespace ivyspar {

/// Maps accounts to their home daemons. Each daemon computes this locally, by rendezvous hashing
/// over the daemons that it considers alive. Plain object.
class AccountPlacement
{
public:
    AccountPlacement(TimePoint now, const AccountLimitOptions &options);

    void setMembers(TimePoint now, const DaemonId &self, const std::vector<AccountMember> &members);
    void setDirectorySize(std::size_t daemons) { m_directorySize = daemons; }
    const DaemonId &self() const { return m_self; }
    const DaemonId &homeOf(const AccountName &account) const;
    /// The daemon that stands in for an unresponsive home: another daemon of this failure domain,
    /// or this daemon itself if there is none.
    const DaemonId &fallbackOf(const AccountName &account) const;
    bool isMember(const DaemonId &daemon) const
    {
        return m_known.count(daemon) > 0 && isPresent(daemon);
    }
    /// The share of the recently seen daemons that are still members. A daemon that has just
    /// started assumes a large deployment.
    double reachableShare(TimePoint now) const;
    /// The share of the members that are in this daemon's failure domain.
    double domainShare() const { return m_domainShare; }
    /// An equal part of an account's demand.
    double equalPart() const
    {
        return 1 / static_cast<double>(std::max<std::size_t>(m_candidates.size(), 1));
    }
    /// When the members last changed.
    TimePoint changedAt() const { return m_changedAt; }

private:
    struct Candidate
    {
        DaemonId daemon;
        DomainName domain;
        std::uint64_t hash = 0;
    };
    struct Known
    {
        bool isPresent = false;
        TimePoint lastPresentAt;
    };

    template <typename IsWanted>
    const Candidate *highestWeight(const AccountName &account, const IsWanted &isWanted) const;
    bool isPresent(const DaemonId &daemon) const { return m_known.at(daemon).isPresent; }
    void removeExpired(TimePoint now);

    const AccountLimitOptions &m_options;
    TimePoint m_startedAt;
    TimePoint m_changedAt;
    std::size_t m_directorySize = 0;
    DaemonId m_self;
    DomainName m_domain;
    double m_domainShare = 1;
    std::vector<Candidate> m_candidates;
    std::unordered_map<DaemonId, Known> m_known;
};

} // namespace ivyspar
