#include "app/internal/control/membershipdriver.h"

#include <cstdint>
#include <limits>
#include <utility>

#include "coordination/membership/membershipfactory.h"
#include "protocol/internal/membershipcodec.h"

namespace ivyspar {

namespace {

/// After this time since the start, a newer record under this daemon's id is reported: it is rarely
/// that of a previous run.
constexpr Duration PREVIOUS_RUN_WINDOW = std::chrono::seconds(30);
/// Two daemons with the same id must not supersede each other with each message.
constexpr Duration MIN_SUPERSEDE_INTERVAL = std::chrono::seconds(1);
constexpr Incarnation LAST_INCARNATION(std::numeric_limits<std::uint64_t>::max());

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

/// The record may be that of a previous run, if the clock was set back since, also long after the
/// start: daemons that were cut off or frozen meanwhile still hold it. This daemon is the only way
/// to the server on its host, so it goes on whatever the record is.
void MembershipDriver::onConflictingIncarnation(Incarnation conflicting)
{
    const TimePoint now = m_loop.now();
    const bool isTooSoon = m_supersededAt && now - *m_supersededAt < MIN_SUPERSEDE_INTERVAL;
    if (isTooSoon || conflicting == LAST_INCARNATION) {
        return;
    }
    m_supersededAt = now;
    m_self.incarnation = Incarnation(conflicting.value() + 1);
    if (now - m_startedAt > PREVIOUS_RUN_WINDOW) {
        m_events.onDuplicate();
    }
    perform(m_membership->supersede(now, conflicting));
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
