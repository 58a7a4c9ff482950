#include <limits>

#include "app/internal/control/membershipdriver.h"

#include "app/tests/mocks/inlineeventloop.h"
#include "protocol/internal/membershipcodec.h"
#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

Member makeSelf(std::uint64_t incarnation)
{
    Member self;
    self.id = DaemonId("a");
    self.incarnation = Incarnation(incarnation);
    self.peerEndpoint = Endpoint{ "10.0.0.1", 7000 };
    return self;
}

/// Gossip of a peer that holds a record of another run of this daemon.
std::string makeGossip(std::uint64_t incarnation)
{
    MemberUpdate update;
    update.id = DaemonId("a");
    update.incarnation = Incarnation(incarnation);
    update.counter = 7;
    MembershipMessage message;
    message.body = GossipMessage();
    message.updates.push_back(update);
    return encodeMembership(message);
}

} // namespace

TEST_GROUP(MembershipDriver)
{
    InlineEventLoop m_loop;
    SeededRandom m_random{ 5 };
    int m_duplicates = 0;
    std::unique_ptr<MembershipDriver> m_driver;

    void setup() override
    {
        ControlEvents events;
        events.onMembers = [](const std::vector<Member> & /*members*/) {};
        events.send = [](const DaemonId & /*to*/, const Endpoint & /*endpoint*/,
                         const std::string & /*payload*/) {};
        events.onDuplicate = [this] { ++m_duplicates; };
        m_driver = std::make_unique<MembershipDriver>(m_loop, m_random, makeSelf(500), events);
        m_driver->start({});
    }
};

// Guards against a daemon that stops because of the record of its previous run. The record looks
// newer if the clock of the host was set back by two seconds between the runs. The daemon would
// then stop at each start until the clock has caught up, and its server would get no calls.
TEST(MembershipDriver, RaisesIncarnationAbovePreviousRunAfterClockSetBack)
{
    CHECK(m_driver->receive(DaemonId("b"), makeGossip(900)));
    CHECK_EQUAL(0, m_duplicates);
    CHECK(m_driver->self().incarnation > Incarnation(900));
}

// Guards against a daemon that stops by itself because a daemon which was cut off for a while
// brings back the record of a previous run.
TEST(MembershipDriver, SupersedesAndReportsANewerRecordLongAfterTheStart)
{
    m_loop.advance(std::chrono::seconds(40));
    CHECK(m_driver->receive(DaemonId("b"), makeGossip(900)));
    CHECK_EQUAL(1, m_duplicates);
    CHECK(m_driver->self().incarnation > Incarnation(900));
    CHECK(m_driver->allMembers().front().member.incarnation > Incarnation(900));
}

// Guards against two daemons with the same id that supersede each other without a pause.
TEST(MembershipDriver, SupersedesOnceASecondAtMost)
{
    CHECK(m_driver->receive(DaemonId("b"), makeGossip(900)));
    const Incarnation first = m_driver->self().incarnation;
    CHECK(m_driver->receive(DaemonId("b"), makeGossip(2000)));
    CHECK(m_driver->self().incarnation == first);
    m_loop.advance(std::chrono::seconds(2));
    CHECK(m_driver->receive(DaemonId("b"), makeGossip(2000)));
    CHECK(m_driver->self().incarnation > Incarnation(2000));
}

// Guards against a largest incarnation after which the daemon would start again at zero.
TEST(MembershipDriver, LargestIncarnationIsNotSuperseded)
{
    const Incarnation own = m_driver->self().incarnation;
    CHECK(m_driver->receive(DaemonId("b"), makeGossip(std::numeric_limits<std::uint64_t>::max())));
    CHECK(m_driver->self().incarnation == own);
}
