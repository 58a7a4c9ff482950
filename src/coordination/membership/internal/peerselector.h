#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "coordination/membership/internal/membertable.h"
#include "state/irandom.h"

namespace ivyspar {

/// Selects the next member to contact, in round-robin order. For each round over the members of the
/// local failure domain, one member of each remote domain is selected, so that the traffic between
/// two domains does not grow with the square of their members.
class PeerSelector
{
public:
    /// `table` must outlive the selector.
    PeerSelector(const MemberTable &table, DaemonId self, DomainName domain);

    /// The salt makes two daemons with the same table use different orders.
    void setSalt(std::uint64_t salt) { m_salt = salt; }
    /// The set of members that are up changed.
    void markStale() { m_isStale = true; }
    /// Rebuilds the rings if they are stale.
    void refresh();
    /// A member came up. A local member is inserted at a random position in the rest of the ping
    /// round: at the end, every observer would ping it only after a whole round.
    void join(const DaemonId &id);

    /// Next member to send to; null if there is none.
    const MemberEntry *next();
    /// Up to `count` different members, without `except`.
    std::vector<const MemberEntry *> next(std::size_t count, const DaemonId &except);
    /// Next member to ping; null if there is none. Pings each local member once per round, in
    /// random order.
    const MemberEntry *nextToPing(IRandom &random);

    bool isLocal(const DomainName &domain) const { return domain == m_domain; }
    bool isLocal(const DaemonId &id) const;
    /// Number of members of the local failure domain that are up, without this daemon.
    std::size_t localCount() const;

private:
    using Ring = std::vector<DaemonId>;

    double remoteShare() const;
    /// Adds the remote share of one message to `due` and, if a whole message is due, takes it off.
    bool isRemoteDue(double &due) const;
    const MemberEntry *nextRemote();
    const MemberEntry *nextIn(const DomainName &domain);
    const MemberEntry *nextLocalToPing(IRandom &random);
    void startPingRound(IRandom &random);
    static void shuffle(Ring &ring, IRandom &random);

    const MemberTable &m_table;
    const DaemonId m_self;
    const DomainName m_domain;
    std::uint64_t m_salt = 0;
    bool m_isStale = true;
    /// Members that are up, by failure domain.
    std::map<DomainName, Ring> m_rings;
    std::map<DomainName, std::size_t> m_positions;
    DomainName m_lastDomain;
    Ring m_pingRing;
    std::size_t m_pingPosition = 0;
    /// Messages and pings due to remote domains, with fractions.
    double m_remoteDue = 0;
    double m_remotePingDue = 0;
};

} // namespace ivyspar
