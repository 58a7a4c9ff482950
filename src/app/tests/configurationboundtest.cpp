#include <functional>
#include <sstream>
#include <string>
#include <thread>

#include "app/tests/mocks/simulatedfollowers.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Maximum time from the log's acknowledgement of a version until it is in force everywhere.
constexpr Duration PROPAGATION_BOUND = seconds(2);
/// Time after an outage of the log for all daemons from which the bound holds again.
constexpr Duration RECOVERY_TIME = seconds(3);

constexpr std::uint64_t SEEDS = 60;

struct Outage
{
    TimePoint begin;
    TimePoint end;
};

/// Applies faults and changes to a deployment and finds the versions that came into force too late.
class FaultSchedule
{
public:
    explicit FaultSchedule(const SimulatedDeployment &deployment)
        : m_followers(deployment)
    {
        m_followers.publish(m_version);
        m_followers.start();
        m_followers.run(seconds(8));
    }

    SimulatedFollowers &followers() { return m_followers; }
    void run(Duration duration) { m_followers.run(duration); }

    /// Publishes a change each `interval` until `duration` has passed.
    void publishPeriodically(Duration interval, Duration duration)
    {
        for (Duration done{ 0 }; done < duration; done += interval) {
            m_followers.publish(++m_version);
            run(interval);
        }
    }

    /// The log answers no daemon for `duration`, in which no change is published.
    void silenceLog(Duration duration)
    {
        const TimePoint begin = m_followers.now();
        m_followers.setServiceForAll(SimulatedLog::Service::Silent);
        run(duration);
        m_followers.setServiceForAll(SimulatedLog::Service::Answers);
        m_outages.push_back({ begin, m_followers.now() });
    }

    /// The log fails for each daemon with a probability of one half, until the next call.
    void failHalf(SimulatedLog::Service service)
    {
        for (std::size_t i = 0; i < m_followers.size(); ++i) {
            const bool isFailed = m_followers.random().below(2) == 0;
            m_followers.setService(i, isFailed ? service : SimulatedLog::Service::Answers);
        }
    }

    /// Returns one line for each version and daemon that exceeded the bound; empty if none did.
    std::string findLateVersions() const
    {
        std::ostringstream late;
        for (const auto &[version, publishedAt] : m_followers.published()) {
            const TimePoint limit = limitOf(publishedAt);
            for (std::size_t i = 0; i < m_followers.size(); ++i) {
                const TimePoint since = m_followers.inForceSince(i, version);
                if (since > limit) {
                    late << "version " << version << " at daemon " << i << " "
                         << toSeconds(std::chrono::duration_cast<Duration>(since - publishedAt))
                         << " s after it was published\n";
                }
            }
        }
        return late.str();
    }

private:
    TimePoint limitOf(TimePoint publishedAt) const
    {
        TimePoint limit = publishedAt + PROPAGATION_BOUND;
        for (const Outage &outage : m_outages) {
            if (limit >= outage.begin && limit < outage.end + RECOVERY_TIME) {
                limit = outage.end + RECOVERY_TIME;
            }
        }
        return limit;
    }

    SimulatedFollowers m_followers;
    std::uint64_t m_version = 1;
    std::vector<Outage> m_outages;
};

using Scenario = std::function<void(FaultSchedule &)>;

/// Runs each seed on a thread of its own, as a simulated loop occupies the thread's scheduler.
/// Returns the late versions of the first seed that has any.
std::string runSeeds(SimulatedDeployment deployment, const Scenario &scenario)
{
    std::string late;
    for (std::uint64_t seed = 1; seed <= SEEDS && late.empty(); ++seed) {
        deployment.seed = seed;
        std::thread([&] {
            FaultSchedule schedule(deployment);
            scenario(schedule);
            schedule.run(seconds(10));
            late = schedule.findLateVersions();
        }).join();
        if (!late.empty()) {
            late.insert(0, "seed " + std::to_string(seed) + ":\n");
        }
    }
    return late;
}

SimulatedDeployment makeDeployment(std::size_t daemons, std::size_t domains)
{
    SimulatedDeployment deployment;
    deployment.daemons = daemons;
    deployment.domains = domains;
    return deployment;
}

void runOutageThenHalfSilent(FaultSchedule &schedule)
{
    schedule.publishPeriodically(milliseconds(1500), seconds(3));
    schedule.silenceLog(seconds(5));
    schedule.failHalf(SimulatedLog::Service::Silent);
    schedule.run(milliseconds(200));
    schedule.publishPeriodically(milliseconds(1200), seconds(6));
    schedule.followers().setServiceForAll(SimulatedLog::Service::Answers);
    schedule.publishPeriodically(milliseconds(700), seconds(4));
}

/// Changes that were held back during the outage come in a burst after it.
void runOutageBetweenChanges(FaultSchedule &schedule)
{
    schedule.run(milliseconds(schedule.followers().random().below(5000)));
    schedule.publishPeriodically(seconds(2), seconds(6));
    schedule.silenceLog(milliseconds(5370));
    schedule.publishPeriodically(milliseconds(41), milliseconds(82));
    schedule.run(milliseconds(548));
    schedule.publishPeriodically(seconds(2), seconds(6));
}

/// Connections go silent at random, without an error.
void runLostConnections(FaultSchedule &schedule)
{
    SimulatedFollowers &followers = schedule.followers();
    for (int round = 0; round < 40; ++round) {
        for (std::size_t i = 0; i < followers.size(); ++i) {
            if (followers.random().below(3) == 0) {
                followers.loseConnections(i);
            }
        }
        schedule.publishPeriodically(milliseconds(400), milliseconds(400));
    }
}

/// The log serves only one daemon, another one every two seconds.
void runOneDaemonServed(FaultSchedule &schedule)
{
    SimulatedFollowers &followers = schedule.followers();
    for (int round = 0; round < 8; ++round) {
        const std::size_t served = followers.random().below(followers.size());
        const bool isSilent = followers.random().below(2) == 0;
        followers.setServiceForAll(isSilent ? SimulatedLog::Service::Silent
                                            : SimulatedLog::Service::Refuses);
        followers.setService(served, SimulatedLog::Service::Answers);
        schedule.publishPeriodically(milliseconds(500), seconds(2));
    }
}

/// One failure domain is partitioned from the others, and the log refuses half of the daemons.
void runPartitionWithHalfRefused(FaultSchedule &schedule)
{
    SimulatedFollowers &followers = schedule.followers();
    schedule.failHalf(SimulatedLog::Service::Refuses);
    for (std::size_t domain = 0; domain < 3; ++domain) {
        followers.setService(domain, SimulatedLog::Service::Answers);
    }
    followers.partition(1);
    schedule.publishPeriodically(milliseconds(900), seconds(8));
    followers.heal();
    schedule.publishPeriodically(milliseconds(900), seconds(3));
}

} // namespace

TEST_GROUP(ConfigurationBound){};

// Guards against a change that comes into force too late when the log was silent for all daemons
// and then for half of them.
TEST(ConfigurationBound, HoldsAfterTheLogWasSilentForAllThenForHalf)
{
    STRCMP_EQUAL("", runSeeds(makeDeployment(13, 3), runOutageThenHalfSilent).c_str());
    STRCMP_EQUAL("", runSeeds(makeDeployment(30, 6), runOutageThenHalfSilent).c_str());
}

// Guards against readers whose reads failed together and are then retried and fail together again.
TEST(ConfigurationBound, HoldsForChangesHeldBackWhileTheLogWasSilent)
{
    STRCMP_EQUAL("", runSeeds(makeDeployment(13, 3), runOutageBetweenChanges).c_str());
}

// Guards against a change that comes into force too late when connections to the log went silent.
TEST(ConfigurationBound, HoldsWhileConnectionsToTheLogGoSilent)
{
    STRCMP_EQUAL("", runSeeds(makeDeployment(13, 3), runLostConnections).c_str());
}

// Guards against a change that does not spread from the only daemon that the log serves.
TEST(ConfigurationBound, HoldsWhileTheLogServesOneDaemonOnly)
{
    STRCMP_EQUAL("", runSeeds(makeDeployment(13, 3), runOneDaemonServed).c_str());
    STRCMP_EQUAL("", runSeeds(makeDeployment(30, 6), runOneDaemonServed).c_str());
}

// Guards against a failure domain that misses a version because the log refuses its readers and no
// other domain can reach it.
TEST(ConfigurationBound, HoldsInAFailureDomainThatIsCutOff)
{
    STRCMP_EQUAL("", runSeeds(makeDeployment(13, 3), runPartitionWithHalfRefused).c_str());
}
