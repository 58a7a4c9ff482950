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

/// A version is in force everywhere so long after the log acknowledged it.
constexpr Duration PROPAGATION_BOUND = seconds(2);
/// After a failure of the log for all daemons the bound holds again.
constexpr Duration RECOVERY_TIME = seconds(3);

constexpr std::uint64_t SEEDS = 60;

struct Outage
{
    TimePoint begin;
    TimePoint end;
};

/// Plays faults and changes on a deployment and finds the versions that came too late.
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

    /// From then on, a publishPeriodically each `interval` until `duration` has passed.
    void publishPeriodically(Duration interval, Duration duration)
    {
        for (Duration done{ 0 }; done < duration; done += interval) {
            m_followers.publish(++m_version);
            run(interval);
        }
    }

    /// Nobody can read the log, and nothing can be written to it.
    void silenceLog(Duration duration)
    {
        const TimePoint begin = m_followers.now();
        m_followers.setServiceForAll(SimulatedLog::Service::Silent);
        run(duration);
        m_followers.setServiceForAll(SimulatedLog::Service::Answers);
        m_outages.push_back({ begin, m_followers.now() });
    }

    /// A random half of the daemons gets no service, until the next call.
    void failHalf(SimulatedLog::Service service)
    {
        for (std::size_t i = 0; i < m_followers.size(); ++i) {
            const bool isFailed = m_followers.random().below(2) == 0;
            m_followers.setService(i, isFailed ? service : SimulatedLog::Service::Answers);
        }
    }

    /// One line for each version and daemon that broke the bound; empty when all kept it.
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

/// Plays each seed on a thread of its own, as a simulated loop takes the thread's scheduler.
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

/// Changes that the operators held back come in a burst once the log answers again.
void runOutageBetweenChanges(FaultSchedule &schedule)
{
    schedule.run(milliseconds(schedule.followers().random().below(5000)));
    schedule.publishPeriodically(seconds(2), seconds(6));
    schedule.silenceLog(milliseconds(5370));
    schedule.publishPeriodically(milliseconds(41), milliseconds(82));
    schedule.run(milliseconds(548));
    schedule.publishPeriodically(seconds(2), seconds(6));
}

/// Connections go silent one after the other, each without a word.
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

/// Only one daemon is served, and another one every two seconds.
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

/// A failure domain is cut off from the others, and half of the daemons are turned away.
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

// Guards against a publishPeriodically that comes into force too late where the log was silent for
// all daemons and then for half of them.
TEST(ConfigurationBound, HoldsAfterTheLogWasSilentForAllThenForHalf)
{
    STRCMP_EQUAL("", runSeeds(makeDeployment(13, 3), runOutageThenHalfSilent).c_str());
    STRCMP_EQUAL("", runSeeds(makeDeployment(30, 6), runOutageThenHalfSilent).c_str());
}

// Guards against readers that lost their reads in step, and lose the next ones in step too.
TEST(ConfigurationBound, HoldsForChangesHeldBackWhileTheLogWasSilent)
{
    STRCMP_EQUAL("", runSeeds(makeDeployment(13, 3), runOutageBetweenChanges).c_str());
}

// Guards against a publishPeriodically that comes too late where connections to the log went silent
// for good.
TEST(ConfigurationBound, HoldsWhileConnectionsToTheLogGoSilent)
{
    STRCMP_EQUAL("", runSeeds(makeDeployment(13, 3), runLostConnections).c_str());
}

// Guards against a publishPeriodically that only the last daemon that the log serves can know of.
TEST(ConfigurationBound, HoldsWhileTheLogServesOneDaemonOnly)
{
    STRCMP_EQUAL("", runSeeds(makeDeployment(13, 3), runOneDaemonServed).c_str());
    STRCMP_EQUAL("", runSeeds(makeDeployment(30, 6), runOneDaemonServed).c_str());
}

// Guards against a failure domain that stays behind because its readers are turned away and no
// other domain can tell it.
TEST(ConfigurationBound, HoldsInAFailureDomainThatIsCutOff)
{
    STRCMP_EQUAL("", runSeeds(makeDeployment(13, 3), runPartitionWithHalfRefused).c_str());
}
