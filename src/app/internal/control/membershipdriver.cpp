#include "app/internal/control/membershipdriver.h"

#include <utility>

#include "coordination/membership/membershipfactory.h"
#include "protocol/internal/membershipcodec.h"

namespace ivyspar {

MembershipDriver::MembershipDriver(IEventLoop &loop, IRandom &random, Member self,
                                   ControlEvents events)
    : m_loop(loop)
    , m_random(random)
    , m_self(std::move(self))
    , m_events(std::move(events))
    , m_membership(makeMembership(loop.now(), m_self))
{
}

MembershipDriver::~MembershipDriver()
{
    m_loop.cancelTimer(m_timer);
}

void MembershipDriver::start(const std::vector<Endpoint> &seeds)
{
    for (const Endpoint &seed : seeds) {
        addSeed(seed);
    }
    m_working = m_membership->working();
    m_events.onMembers(m_working);
    tick();
}

void MembershipDriver::addSeed(const Endpoint &endpoint)
{
    if (endpoint != m_self.peerEndpoint) {
        perform(m_membership->addSeed(m_loop.now(), endpoint));
    }
}

void MembershipDriver::setUpstreams(std::vector<UpstreamInfo> upstreams)
{
    m_self.upstreams = std::move(upstreams);
    perform(m_membership->updateSelf(m_loop.now(), m_self));
}

void MembershipDriver::startLeaving()
{
    m_self.leaving = true;
    perform(m_membership->updateSelf(m_loop.now(), m_self));
}

void MembershipDriver::leave()
{
    perform(m_membership->leave(m_loop.now()));
}

bool MembershipDriver::receive(const DaemonId &from, const std::string &payload)
{
    const auto message = decodeMembership(payload);
    if (!message) {
        return false;
    }
    perform(m_membership->receive(m_loop.now(), from, *message));
    return true;
}

void MembershipDriver::onUnreachable(const DaemonId &daemon)
{
    perform(m_membership->onUnreachable(m_loop.now(), daemon));
}

void MembershipDriver::tick()
{
    perform(m_membership->tick(m_loop.now(), m_random));
    m_timer = m_loop.callLater(MembershipOptions().gossipInterval, [this] { tick(); });
}

void MembershipDriver::perform(const MembershipActions &actions)
{
    for (const MembershipDatagram &datagram : actions.send) {
        m_events.send(datagram.to, datagram.endpoint, encodeMembership(datagram.message));
    }
    if (actions.newerSelf) {
        m_events.onDuplicate();
    }
    if (actions.changed) {
        m_working = m_membership->working();
        m_events.onMembers(m_working);
    }
}

} // namespace ivyspar
