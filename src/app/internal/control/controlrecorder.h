#pragma once

#include <set>
#include <vector>

#include "app/internal/control/iconfigurationdriver.h"
#include "app/internal/logs/observers.h"
#include "state/member.h"

namespace ivyspar {

/// Records membership, configuration and log reachability in the decision log and the metrics.
class ControlRecorder
{
public:
    explicit ControlRecorder(Observers observers);

    /// Writes one line for each daemon that joined or left since the last call.
    void recordMembers(const std::vector<Member> &members);
    void recordConfiguration(ConfigurationVersion version, const ConfigurationOrigin &origin);
    void recordLogContact(const LogContact &contact);

private:
    void recordMember(const DaemonId &daemon, const char *outcome, std::size_t count);

    Observers m_observers;
    std::set<DaemonId> m_memberIds;
};

} // namespace ivyspar
