#include "app/internal/control/membershipdriver.h"

#include <utility>

#include "coordination/membership/membershipfactory.h"
#include "protocol/internal/membershipcodec.h"

namespace ivyspar {

namespace {

/// After this time since the start, a newer record under this daemon's id is that of another daemon
/// and not of this daemon's previous run.
constexpr Duration PREVIOUS_RUN_WINDOW = std::chrono::seconds(30);

} // namespace

MembershipDriver::MembershipDriver(IEventLoop &loop, IRandom &random, Member self,
                                   ControlEvents events)
    : m_loop(loop)
    , m_random(random)
    , m_self(std::move(self))
    , m_events(std::move(events))
    , m_startedAt(loop.now())
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
        addSeed({ seed, DomainName() });
    }
    m_availableMembers = m_membership->availableMembers();
    m_events.onMembers(m_availableMembers);
    tick();
}

void MembershipDriver::addSeed(const MembershipSeed &seed)
{
    if (seed.endpoint != m_self.peerEndpoint) {
        m_seeds[seed.endpoint] = seed.domain;
        perform(m_membership->addSeed(m_loop.now(), seed));
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
    m_timer = m_loop.callLater(MembershipOptions().gossipInterval, [this] { tick(); });
    perform(m_membership->tick(m_loop.now(), m_random));
}

/// The clock of this host may have been set back since the previous run of this daemon, whose
/// record then looks newer. Stopping because of it would stop each new run too, until the clock has
/// caught up.
void MembershipDriver::onConflictingIncarnation(Incarnation conflicting)
{
    if (m_loop.now() - m_startedAt > PREVIOUS_RUN_WINDOW) {
        m_events.onDuplicate();
        return;
    }
    for (const Member &member : m_availableMembers) {
        m_seeds[member.peerEndpoint] = member.domain;
    }
    m_self.incarnation = Incarnation(conflicting.value() + 1);
    m_membership = makeMembership(m_loop.now(), m_self);
    const auto seeds = m_seeds;
    for (const auto &[endpoint, domain] : seeds) {
        addSeed({ endpoint, domain });
    }
    m_availableMembers = m_membership->availableMembers();
    m_events.onMembers(m_availableMembers);
}

void MembershipDriver::perform(const MembershipActions &actions)
{
    for (const MembershipDatagram &datagram : actions.send) {
        m_events.send(datagram.to, datagram.endpoint, encodeMembership(datagram.message));
    }
    if (actions.conflictingIncarnation) {
        onConflictingIncarnation(*actions.conflictingIncarnation);
        return;
    }
    if (actions.changed) {
        m_availableMembers = m_membership->availableMembers();
        m_events.onMembers(m_availableMembers);
    }
}

} // namespace ivyspar
