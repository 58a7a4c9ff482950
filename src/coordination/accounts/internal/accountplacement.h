#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "coordination/accounts/iaccountlimits.h"

namespace ivyspar {

/// Which daemon is the home of an account: each daemon finds out for itself, by rendezvous hashing
/// over those that it takes for alive. Plain object.
class AccountPlacement
{
public:
    AccountPlacement(TimePoint now, const AccountLimitOptions &options);

    void setMembers(TimePoint now, const DaemonId &self, const std::vector<AccountMember> &members);
    void setDirectorySize(std::size_t daemons) { m_directorySize = daemons; }
    const DaemonId &self() const { return m_self; }
    const DaemonId &homeOf(const AccountName &account) const;
    /// Who acts for the home while it is silent: another daemon of this failure domain.
    const DaemonId &deputyOf(const AccountName &account) const;
    bool isMember(const DaemonId &daemon) const
    {
        return m_known.count(daemon) > 0 && isPresent(daemon);
    }
    /// Of the daemons that were there lately, the share that still is. A daemon that has just
    /// started takes itself for one of many.
    double reachableShare(TimePoint now) const;
    /// Of the members, the share that is in this daemon's failure domain.
    double domainShare() const { return m_domainShare; }
    /// When the members changed last.
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
