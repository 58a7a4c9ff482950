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
constexpr std::size_t SMALL_DEPLOYMENT = 30;
constexpr std::size_t LARGE_DEPLOYMENT = 300;

/// Size of a datagram without the gossip in it: headers and the sender's id.
constexpr std::size_t OVERHEAD_BYTES = 60;
/// Limits of the control traffic of a daemon, on average and in any second.
constexpr std::size_t MEAN_BYTES_PER_SECOND = 11 * 1024;
constexpr std::size_t MAX_BYTES_PER_SECOND = 3 * MEAN_BYTES_PER_SECOND;

DomainName domainOf(std::size_t index)
{
    return DomainName("domain-" + std::to_string(index % DOMAINS));
}

/// A simulated deployment that gossips, seeded with a list of its daemons; counts the bytes sent.
class GossipDeployment
{
public:
    explicit GossipDeployment(std::size_t count)
        : m_sent(count)
    {
        m_simulation.onDatagram = [this](std::size_t sender, const MembershipDatagram &datagram) {
            recordSent(sender, datagram);
        };
        for (std::size_t i = 0; i < count; ++i) {
            m_simulation.start(domainOf(i).value());
            addSeeds(i, i);
            m_simulation.run(milliseconds(1));
        }
    }

    MembershipSimulation &simulation() { return m_simulation; }

    /// Crashes these daemons at once and restarts them a second later.
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
            addSeeds(index, m_simulation.size());
        }
    }

    bool hasConverged() const { return m_simulation.agreeOn(m_sent.size()); }

    /// Returns the mean number of bytes that a daemon sent to other failure domains.
    std::size_t run(Duration time)
    {
        m_bytesToOtherDomains = 0;
        for (Duration done{ 0 }; done < time; done += seconds(1)) {
            std::fill(m_sent.begin(), m_sent.end(), 0);
            m_simulation.run(seconds(1));
            m_peakInLastSecond = *std::max_element(m_sent.begin(), m_sent.end());
            m_peakBytesPerSecond = std::max(m_peakBytesPerSecond, m_peakInLastSecond);
        }
        return m_bytesToOtherDomains / m_sent.size();
    }

    /// Returns the most bytes that any daemon sent in a second since the last call.
    std::size_t takePeakBytesPerSecond() { return std::exchange(m_peakBytesPerSecond, 0); }

private:
    void addSeeds(std::size_t index, std::size_t knownDaemons)
    {
        for (std::size_t other = 0; other < knownDaemons; ++other) {
            const Member &member = m_simulation.node(other).record;
            const MembershipSeed seed{ member.peerEndpoint, member.domain };
            m_simulation.deliver(
                index, m_simulation.node(index).membership->addSeed(m_simulation.now(), seed));
        }
    }

    void recordSent(std::size_t sender, const MembershipDatagram &datagram)
    {
        const std::size_t bytes = encodeMembership(datagram.message).size() + OVERHEAD_BYTES;
        const std::size_t owner = m_simulation.ownerOf(datagram.endpoint);
        const bool isSameDomain =
            owner != MembershipSimulation::NONE && domainOf(owner) == domainOf(sender);
        m_sent[sender] += bytes;
        m_bytesToOtherDomains += isSameDomain ? 0 : bytes;
    }

    MembershipSimulation m_simulation{ 11 };
    std::vector<std::size_t> m_sent;
    std::size_t m_bytesToOtherDomains = 0;
    std::size_t m_peakInLastSecond = 0;
    std::size_t m_peakBytesPerSecond = 0;
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

// Guards against traffic between failure domains that grows with the number of pairs of daemons
// when all daemons start at once, for example after a power failure: full tables were exchanged
// with any daemon, and updates were sent anywhere. All daemons must know each other within seconds,
// since until then calls fail for lack of a server.
TEST(ControlPlaneGossip, CrossDomainTrafficPerDaemonDoesNotGrowWithDeploymentSize)
{
    GossipDeployment small(SMALL_DEPLOYMENT);
    GossipDeployment large(LARGE_DEPLOYMENT);
    const std::size_t smallAtStart = small.run(seconds(10));
    const std::size_t largeAtStart = large.run(seconds(10));
    CHECK(small.hasConverged());
    CHECK(large.hasConverged());
    CHECK(largeAtStart <= smallAtStart);

    const std::size_t smallIdle = small.run(seconds(60));
    const std::size_t largeIdle = large.run(seconds(60));
    CHECK(largeIdle <= smallIdle);
    CHECK(largeIdle <= 60 * MEAN_BYTES_PER_SECOND);

    small.restart(allOf(SMALL_DEPLOYMENT));
    large.restart(allOf(LARGE_DEPLOYMENT));
    const std::size_t smallAfterRestart = small.run(seconds(10));
    const std::size_t largeAfterRestart = large.run(seconds(10));
    CHECK(small.hasConverged());
    CHECK(large.hasConverged());
    CHECK(largeAfterRestart <= smallAfterRestart);
}

TEST(ControlPlaneGossip, PeakRatePerDaemonIsBoundedAfterTheFirstSecond)
{
    GossipDeployment large(LARGE_DEPLOYMENT);
    large.run(seconds(1));
    large.takePeakBytesPerSecond();
    large.run(seconds(30));
    CHECK(large.takePeakBytesPerSecond() <= MAX_BYTES_PER_SECOND);

    large.restart(allOf(LARGE_DEPLOYMENT));
    large.run(seconds(1));
    large.takePeakBytesPerSecond();
    large.run(seconds(30));
    CHECK(large.takePeakBytesPerSecond() <= MAX_BYTES_PER_SECOND);
}

// Guards against a failure domain that rejoins too late after a partition in which all others
// declared its daemons dead, or floods the narrow link between the domains.
TEST(ControlPlaneGossip, ReconnectedFailureDomainConvergesWithinTrafficBound)
{
    GossipDeployment large(LARGE_DEPLOYMENT);
    large.run(seconds(10));
    large.simulation().partition(domainOf(0).value());
    large.run(seconds(40));
    CHECK(!large.hasConverged());
    large.simulation().heal();
    large.takePeakBytesPerSecond();
    const Duration limit = seconds(30);
    CHECK(large.simulation().runUntil([&] { return large.hasConverged(); }, limit) < limit);
    large.run(seconds(10));
    CHECK(large.takePeakBytesPerSecond() <= MAX_BYTES_PER_SECOND);
}

TEST_GROUP(ControlPlaneLog)
{
    std::unique_ptr<SimulatedFollowers> m_followers;

    void start(std::size_t count, std::uint32_t readersPerDomain)
    {
        SimulatedDeployment deployment;
        deployment.daemons = count;
        deployment.domains = DOMAINS;
        deployment.readersPerDomain = readersPerDomain;
        m_followers = std::make_unique<SimulatedFollowers>(deployment);
        m_followers->publish(1);
        m_followers->start();
        CHECK(reaches([this] { return m_followers->isInForceEverywhere(1); }));
        CHECK(reaches([&] { return m_followers->registeredDaemons() == count; }));
    }
    bool reaches(const std::function<bool()> &condition)
    {
        for (Duration waited{ 0 }; waited < seconds(5) && !condition(); waited += milliseconds(1)) {
            m_followers->run(milliseconds(1));
        }
        return condition();
    }
    /// Publishes a version and returns the number of reads until it is in force everywhere.
    std::size_t readsUntilInForce(std::uint64_t version)
    {
        const std::size_t before = m_followers->reads();
        m_followers->publish(version);
        CHECK(reaches([&] { return m_followers->isInForceEverywhere(version); }));
        return m_followers->reads() - before;
    }
    std::size_t totalBytesSent() const
    {
        return m_followers->bytes() + m_followers->messages() * OVERHEAD_BYTES;
    }
    void teardown() override
    {
        m_followers.reset();
    }
};

// Guards against one read per daemon for each new version, which overloads a small log. That is the
// case if each daemon long-polls the log; with a few readers, the others receive it from peers.
TEST(ControlPlaneLog, ReadsPerVersionStayFarBelowDaemonCount)
{
    start(LARGE_DEPLOYMENT, 2);
    std::size_t most = 0;
    for (std::uint64_t version = 2; version < 6; ++version) {
        most = std::max(most, readsUntilInForce(version));
    }
    CHECK(most < LARGE_DEPLOYMENT / 3);
}

// Without readers, versions are found only by the reads of DocumentPoller.
TEST(ControlPlaneLog, VersionReachesAllDaemonsWithoutReaders)
{
    start(SMALL_DEPLOYMENT, 0);
    CHECK(readsUntilInForce(2) < SMALL_DEPLOYMENT);
    CHECK(readsUntilInForce(3) < SMALL_DEPLOYMENT);
}

// Guards against reads and messages for confirmations that grow with the number of daemons.
TEST(ControlPlaneLog, IdleReadsAreBoundedInLargeDeployments)
{
    constexpr std::size_t SECONDS = 20;
    start(SMALL_DEPLOYMENT, 2);
    std::size_t before = m_followers->reads();
    m_followers->run(seconds(SECONDS));
    const std::size_t smallReads = m_followers->reads() - before;

    m_followers.reset();
    start(LARGE_DEPLOYMENT, 2);
    before = m_followers->reads();
    const std::size_t bytesBefore = totalBytesSent();
    m_followers->run(seconds(SECONDS));
    CHECK(m_followers->reads() - before <= 3 * smallReads);
    CHECK(totalBytesSent() - bytesBefore <= LARGE_DEPLOYMENT * SECONDS * MEAN_BYTES_PER_SECOND);
}

// Guards against overload of a log that refuses all daemons: the confirmations that they exchange
// are old, and must not trigger reads at once.
TEST(ControlPlaneLog, ReadRateIsBoundedWhenLogRefusesAllDaemons)
{
    constexpr std::size_t SECONDS = 8;
    // Capacity of the log, and the size of the target deployment.
    constexpr std::size_t READS_PER_SECOND = 2000;
    constexpr std::size_t DAEMONS = 790;
    start(SMALL_DEPLOYMENT, 2);
    m_followers->setServiceForAll(SimulatedLog::Service::Refuses);
    m_followers->run(seconds(2));
    const std::size_t before = m_followers->reads();
    m_followers->run(seconds(SECONDS));
    const std::size_t reads = m_followers->reads() - before;
    CHECK(reads * DAEMONS <= SMALL_DEPLOYMENT * SECONDS * READS_PER_SECOND);
}

// Each daemon reads the directory, registers, reads it again, and reads the configuration.
TEST(ControlPlaneLog, StartTakesAFewReadsPerDaemon)
{
    start(LARGE_DEPLOYMENT, 2);
    CHECK(m_followers->reads() <= 5 * LARGE_DEPLOYMENT);
}
