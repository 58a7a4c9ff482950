#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "coordination/membership/internal/membertable.h"
#include "state/irandom.h"

namespace ivyspar {

/// In which order a daemon speaks with the others. Each member of its own failure domain has its
/// turn, and one of each other domain for a round of the own: what crosses between two domains then
/// does not grow with the square of their members.
class PeerSelector
{
public:
    /// `table` outlives the rings.
    PeerSelector(const MemberTable &table, DaemonId self, DomainName domain);

    /// Rings of two daemons with the same table differ by their salt.
    void setSalt(std::uint64_t salt) { m_salt = salt; }
    /// Members came up or went.
    void markStale() { m_isStale = true; }
    void refresh();
    /// A member that came up. One of the own domain is put at a random place in the rest of the
    /// round of pings: at its end, each observer would reach it only after a whole round.
    void join(const DaemonId &id);

    /// The next one to send to; null where nobody is up.
    const MemberEntry *next();
    /// Up to `count` different ones.
    std::vector<const MemberEntry *> next(std::size_t count, const DaemonId &except);
    /// The next one to ping: in the own domain each once in a round, in random order.
    const MemberEntry *nextToPing(IRandom &random);

    bool isLocal(const DomainName &domain) const { return domain == m_domain; }
    bool isLocal(const DaemonId &id) const;
    /// Members of the own failure domain besides this one.
    std::size_t localCount() const;

private:
    using Ring = std::vector<DaemonId>;

    double remoteShare() const;
    /// Whether one more message is due to another domain, counted in `due`.
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
    /// Those that are up, by failure domain.
    std::map<DomainName, Ring> m_rings;
    std::map<DomainName, std::size_t> m_positions;
    DomainName m_lastDomain;
    Ring m_pingRing;
    std::size_t m_pingPosition = 0;
    /// Messages, and pings, to other failure domains that are due, and parts of one.
    double m_remoteDue = 0;
    double m_remotePingDue = 0;
};

} // namespace ivyspar
