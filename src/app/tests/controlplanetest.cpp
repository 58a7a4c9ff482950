#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

#include "app/tests/mocks/simulatedfollowers.h"
#include "coordination/membership/tests/mocks/membershipsimulation.h"
#include "protocol/internal/membershipcodec.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t DOMAINS = 6;
constexpr std::size_t FEW = 30;
constexpr std::size_t MANY = 300;

/// What a datagram takes besides the gossip in it: headers, the name of the sender.
constexpr std::size_t OVERHEAD_BYTES = 60;
/// The share of a daemon in the control traffic, in the mean and in any second.
constexpr std::size_t BYTES_PER_SECOND = 11 * 1024;
constexpr std::size_t MOST_BYTES_PER_SECOND = 3 * BYTES_PER_SECOND;

DomainName domainOf(std::size_t index)
{
    return DomainName("domain-" + std::to_string(index % DOMAINS));
}

/// A deployment of daemons that gossip, found by a list of all of them, with what each sends.
class Gossip
{
public:
    explicit Gossip(std::size_t count)
        : m_sent(count)
    {
        m_simulation.onDatagram = [this](std::size_t sender, const MembershipDatagram &datagram) {
            note(sender, datagram);
        };
        for (std::size_t i = 0; i < count; ++i) {
            m_simulation.start(domainOf(i).value());
            showList(i, i);
            m_simulation.run(milliseconds(1));
        }
    }

    MembershipSimulation &simulation() { return m_simulation; }

    /// The processes of these daemons end at once and start again.
    void restart(const std::vector<std::size_t> &daemons)
    {
        for (const std::size_t index : daemons) {
            m_simulation.crash(index);
        }
        m_simulation.run(seconds(1));
        for (const std::size_t index : daemons) {
            m_simulation.restart(index, MembershipSimulation::NONE);
        }
        for (const std::size_t index : daemons) {
            showList(index, m_simulation.size());
        }
    }

    bool agree() const { return m_simulation.agreeOn(m_sent.size()); }

    /// Returns the bytes that each daemon sent to other failure domains, in the mean.
    std::size_t run(Duration time)
    {
        m_far = 0;
        for (Duration done{ 0 }; done < time; done += seconds(1)) {
            std::fill(m_sent.begin(), m_sent.end(), 0);
            m_simulation.run(seconds(1));
            m_mostInASecond = *std::max_element(m_sent.begin(), m_sent.end());
            m_mostEver = std::max(m_mostEver, m_mostInASecond);
        }
        return m_far / m_sent.size();
    }

    /// Bytes of the busiest daemon in the busiest second of the last `run`s.
    std::size_t takeMostInASecond() { return std::exchange(m_mostEver, 0); }

private:
    void showList(std::size_t index, std::size_t entered)
    {
        for (std::size_t other = 0; other < entered; ++other) {
            const Member &member = m_simulation.node(other).record;
            const MembershipSeed seed{ member.peerEndpoint, member.domain };
            m_simulation.deliver(
                index, m_simulation.node(index).membership->addSeed(m_simulation.now(), seed));
        }
    }

    void note(std::size_t sender, const MembershipDatagram &datagram)
    {
        const std::size_t bytes = encodeMembership(datagram.message).size() + OVERHEAD_BYTES;
        const std::size_t owner = m_simulation.ownerOf(datagram.endpoint);
        const bool isNear =
            owner != MembershipSimulation::NONE && domainOf(owner) == domainOf(sender);
        m_sent[sender] += bytes;
        m_far += isNear ? 0 : bytes;
    }

    MembershipSimulation m_simulation{ 11 };
    std::vector<std::size_t> m_sent;
    std::size_t m_far = 0;
    std::size_t m_mostInASecond = 0;
    std::size_t m_mostEver = 0;
};

std::vector<std::size_t> allOf(std::size_t count)
{
    std::vector<std::size_t> all(count);
    for (std::size_t i = 0; i < count; ++i) {
        all[i] = i;
    }
    return all;
}

} // namespace

TEST_GROUP(ControlPlaneGossip){};

// 1. All daemons of a deployment start at once; later a power failure ends all, and they start
//    again at once.
// 2. Each has to know all others within seconds: until then callers hear that there is no server.
// 3. Each took whole tables from any other, and rumours went anywhere, so that a failure domain
//    sent as much to another as it has pairs of daemons.
TEST(ControlPlaneGossip, CrossDomainTrafficPerDaemonDoesNotGrowWithDeploymentSize)
{
    Gossip few(FEW);
    Gossip many(MANY);
    const std::size_t startOfFew = few.run(seconds(10));
    const std::size_t startOfMany = many.run(seconds(10));
    CHECK(few.agree());
    CHECK(many.agree());
    CHECK(startOfMany <= startOfFew);

    const std::size_t calmFew = few.run(seconds(60));
    const std::size_t calmMany = many.run(seconds(60));
    CHECK(calmMany <= calmFew);
    CHECK(calmMany <= 60 * BYTES_PER_SECOND);

    few.restart(allOf(FEW));
    many.restart(allOf(MANY));
    const std::size_t againFew = few.run(seconds(10));
    const std::size_t againMany = many.run(seconds(10));
    CHECK(few.agree());
    CHECK(many.agree());
    CHECK(againMany <= againFew);
}

TEST(ControlPlaneGossip, PeakRatePerDaemonIsBoundedAfterTheFirstSecond)
{
    Gossip many(MANY);
    many.run(seconds(1));
    many.takeMostInASecond();
    many.run(seconds(30));
    CHECK(many.takeMostInASecond() <= MOST_BYTES_PER_SECOND);

    many.restart(allOf(MANY));
    many.run(seconds(1));
    many.takeMostInASecond();
    many.run(seconds(30));
    CHECK(many.takeMostInASecond() <= MOST_BYTES_PER_SECOND);
}

// 1. A failure domain of fifty is cut off, and its daemons are taken for dead by all others.
// 2. It comes back. Both sides find each other again without a flood over the narrow way between.
TEST(ControlPlaneGossip, ReconnectedFailureDomainConvergesWithinTrafficBound)
{
    Gossip many(MANY);
    many.run(seconds(10));
    many.simulation().partition(domainOf(0).value());
    many.run(seconds(40));
    CHECK(!many.agree());
    many.simulation().heal();
    many.takeMostInASecond();
    const Duration limit = seconds(30);
    CHECK(many.simulation().runUntil([&] { return many.agree(); }, limit) < limit);
    many.run(seconds(10));
    CHECK(many.takeMostInASecond() <= MOST_BYTES_PER_SECOND);
}

TEST_GROUP(ControlPlaneLog)
{
    std::unique_ptr<SimulatedFollowers> m_all;

    void start(std::size_t count, std::uint32_t readersPerDomain)
    {
        SimulatedDeployment deployment;
        deployment.daemons = count;
        deployment.domains = DOMAINS;
        deployment.readersPerDomain = readersPerDomain;
        m_all = std::make_unique<SimulatedFollowers>(deployment);
        m_all->publish(1);
        m_all->start();
        CHECK(reaches([this] { return m_all->haveAll(1); }));
        CHECK(reaches([&] { return m_all->entered() == count; }));
    }
    bool reaches(const std::function<bool()> &condition)
    {
        for (Duration waited{ 0 }; waited < seconds(5) && !condition(); waited += milliseconds(1)) {
            m_all->run(milliseconds(1));
        }
        return condition();
    }
    /// Calls of the log from a new version until all have it in force.
    std::size_t readsForAVersion(std::uint64_t version)
    {
        const std::size_t before = m_all->reads();
        m_all->publish(version);
        CHECK(reaches([&] { return m_all->haveAll(version); }));
        return m_all->reads() - before;
    }
    std::size_t bytesOnTheWay() const
    {
        return m_all->bytes() + m_all->messages() * OVERHEAD_BYTES;
    }
    void teardown() override
    {
        m_all.reset();
    }
};

// 1. Operators put a new version of the configuration into the platform's log.
// 2. Each daemon waits there for news, and each reads the new version and waits anew: the log is
//    asked in proportion to the daemons for each change, and of a small log nothing is left.
// 3. With readers, all learn of it within a part of a second from a few reads.
TEST(ControlPlaneLog, ReadsPerVersionStayFarBelowDaemonCount)
{
    start(MANY, 2);
    std::size_t most = 0;
    for (std::uint64_t version = 2; version < 6; ++version) {
        most = std::max(most, readsForAVersion(version));
    }
    CHECK(most < MANY / 3);
}

// The same without any reader: by turns alone.
TEST(ControlPlaneLog, VersionReachesAllDaemonsWithoutReaders)
{
    start(FEW, 0);
    CHECK(readsForAVersion(2) < FEW);
    CHECK(readsForAVersion(3) < FEW);
}

// Guards against reads and messages for currency that grow with the daemons.
TEST(ControlPlaneLog, IdleReadsAreBoundedInLargeDeployments)
{
    constexpr std::size_t SECONDS = 20;
    start(FEW, 2);
    std::size_t before = m_all->reads();
    m_all->run(seconds(SECONDS));
    const std::size_t few = m_all->reads() - before;

    m_all.reset();
    start(MANY, 2);
    before = m_all->reads();
    const std::size_t bytesBefore = bytesOnTheWay();
    m_all->run(seconds(SECONDS));
    CHECK(m_all->reads() - before <= 3 * few);
    CHECK(bytesOnTheWay() - bytesBefore <= MANY * SECONDS * BYTES_PER_SECOND);
}

// Guards against daemons that press a log which turns all of them away: what they tell each other
// is old, and must not make them read at once.
TEST(ControlPlaneLog, ReadRateIsBoundedWhenLogRefusesAllDaemons)
{
    constexpr std::size_t SECONDS = 8;
    // What the log serves, and the size of the aim.
    constexpr std::size_t READS_PER_SECOND = 2000;
    constexpr std::size_t DAEMONS = 790;
    start(FEW, 2);
    m_all->setServiceForAll(SimulatedLog::Service::Refuses);
    m_all->run(seconds(2));
    const std::size_t before = m_all->reads();
    m_all->run(seconds(SECONDS));
    const std::size_t reads = m_all->reads() - before;
    CHECK(reads * DAEMONS <= FEW * SECONDS * READS_PER_SECOND);
}

// Each reads the list, enters itself and reads once more, and reads the configuration.
TEST(ControlPlaneLog, StartTakesAFewReadsPerDaemon)
{
    start(MANY, 2);
    CHECK(m_all->reads() <= 5 * MANY);
}
