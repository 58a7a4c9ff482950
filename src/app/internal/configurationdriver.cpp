#include "app/internal/configurationdriver.h"

#include <algorithm>
#include <utility>

#include "protocol/configurationreaderfactory.h"

namespace ivyspar {

class ConfigurationDriver::Exchange : public IControlExchange
{
public:
    Exchange(const MembershipDriver &membership, Send send)
        : m_membership(membership)
        , m_send(std::move(send))
    {
    }

    std::vector<ControlPeer> peers() const override
    {
        std::vector<ControlPeer> peers;
        for (const Member &member : m_membership.working()) {
            if (member.id != m_membership.self().id) {
                peers.push_back({ member.id, member.domain });
            }
        }
        return peers;
    }

    void send(const DaemonId &to, std::string payload) override
    {
        const std::vector<Member> &members = m_membership.working();
        const auto found = std::find_if(members.begin(), members.end(),
                                        [&to](const Member &each) { return each.id == to; });
        if (found != members.end()) {
            m_send(to, found->peerEndpoint, std::move(payload));
        }
    }

private:
    const MembershipDriver &m_membership;
    Send m_send;
};

ConfigurationDriver::ConfigurationDriver(const DaemonSettings &settings, IEventLoop &loop,
                                         ILogService &log, IRandom &random,
                                         const MembershipDriver &membership, Send send,
                                         ConfigurationFollowerEvents events)
    : m_reader(makeConfigurationReader())
    , m_exchange(std::make_unique<Exchange>(membership, std::move(send)))
{
    ConfigurationFollowerSettings follower;
    follower.self = settings.id;
    follower.domain = settings.domain;
    m_follower = std::make_unique<ConfigurationFollower>(follower, loop, log, *m_reader,
                                                         *m_exchange, random, std::move(events));
}

ConfigurationDriver::~ConfigurationDriver() = default;

void ConfigurationDriver::start()
{
    m_follower->start();
}

void ConfigurationDriver::stop()
{
    m_follower->stop();
}

bool ConfigurationDriver::receive(const DaemonId &from, const std::string &payload)
{
    return m_follower->receive(from, payload);
}

ConfigurationStatus ConfigurationDriver::status() const
{
    return m_follower->status();
}

} // namespace ivyspar
