#include "app/internal/control/controlexchange.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

ControlExchange::ControlExchange(const MembershipDriver &membership, ControlSend send)
    : m_membership(membership)
    , m_send(std::move(send))
{
}

std::vector<ControlPeer> ControlExchange::peers() const
{
    std::vector<ControlPeer> peers;
    for (const Member &member : m_membership.availableMembers()) {
        if (member.id != m_membership.self().id) {
            peers.push_back({ member.id, member.domain });
        }
    }
    return peers;
}

void ControlExchange::send(const DaemonId &to, std::string payload)
{
    const std::vector<Member> &members = m_membership.availableMembers();
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&to](const Member &each) { return each.id == to; });
    if (found != members.end()) {
        m_send(to, found->peerEndpoint, std::move(payload));
    }
}

} // namespace ivyspar
