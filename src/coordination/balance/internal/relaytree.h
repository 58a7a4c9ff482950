#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "state/ids.h"
#include "state/member.h"

namespace ivyspar {

/// Chooses the summing daemon of each failure domain, and who relays its news to whom. Each daemon
/// computes this locally from the daemons that it considers alive. Plain object.
class RelayTree
{
public:
    void setMembers(const DaemonId &self, const std::vector<Member> &members);

    const DaemonId &self() const { return m_self; }
    const DomainName &domain() const { return m_domain; }
    /// Daemons of this failure domain, this one included.
    std::size_t domainSize() const { return m_daemons.size(); }
    /// The daemon with the highest hash in this failure domain; this one if it knows no members.
    const DaemonId &summing() const;
    bool isSumming() const { return summing() == m_self; }
    /// The daemon to which a daemon of this failure domain reports: the collecting daemon of its
    /// group, or the summing one; itself if it is the summing one or of another domain.
    const DaemonId &reportTarget(const DaemonId &daemon) const;
    /// The summing daemons of the other failure domains.
    std::vector<DaemonId> otherSumming() const;
    /// The daemons to which this one passes on the news of that round. The order changes with the
    /// round, so that a failed relay cuts off different daemons each time.
    std::vector<DaemonId> children(const DaemonId &origin, std::uint32_t round,
                                   std::size_t fanOut) const;

private:
    void assignGroups();

    DaemonId m_self;
    DomainName m_domain;
    /// Sorted daemons of this failure domain.
    std::vector<DaemonId> m_daemons;
    std::map<DomainName, DaemonId> m_summing;
    std::unordered_map<DaemonId, DaemonId> m_reportTargets;
};

} // namespace ivyspar
