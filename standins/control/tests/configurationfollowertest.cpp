#include <algorithm>
#include <utility>

#include "coordination/configuration/configurationdigest.h"
#include "protocol/internal/configurationrecordcodec.h"
#include "protocol/tests/mocks/mockconfigurationreader.h"
#include "standins/control/followercluster.h"
#include "transport/transportfactory.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace ivyspar::lab;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const StreamName STREAM{ CONFIGURATION_STREAM };

FollowerClusterSettings fastSettings()
{
    FollowerClusterSettings settings;
    settings.follower.poll.longPoll = milliseconds(30);
    settings.follower.poll.fastInterval = milliseconds(5);
    settings.follower.poll.slowInterval = milliseconds(100);
    settings.follower.poll.firstBackoff = milliseconds(5);
    settings.follower.poll.maxBackoff = milliseconds(20);
    settings.follower.offerInterval = milliseconds(5);
    settings.logTimeout = milliseconds(100);
    return settings;
}

} // namespace

/// Followers, the log stand-in and a network between them, in one process. Waits are for
/// conditions; how long something takes is not asserted.
TEST_GROUP(ConfigurationFollower)
{
    std::unique_ptr<IEventLoop> m_loop = makeEventLoop();
    MockConfigurationReader m_reader;
    FollowerClusterSettings m_settings = fastSettings();
    std::unique_ptr<FollowerCluster> m_cluster;

    void run(std::function<void()> test)
    {
        m_cluster = std::make_unique<FollowerCluster>(*m_loop, m_reader, m_settings);
        m_loop->spawn([this, test = std::move(test)] {
            test();
            m_cluster->stop();
            m_loop->stop();
        });
        m_loop->run();
        m_cluster.reset();
    }
    void startHosts(int perDomain)
    {
        for (const char *domain : { "a", "b", "c" }) {
            for (int i = 0; i < perDomain; ++i) {
                m_cluster->add(std::string(domain) + std::to_string(i), domain);
            }
        }
    }
    /// By an operator whom the faults of the log do not concern.
    void append(std::uint64_t base, const std::string &inventory)
    {
        ConfigurationRecord record;
        record.changeId = "change of " + std::to_string(base);
        record.base = ConfigurationVersion(base);
        record.inventory = inventory;
        record.digest = configurationDigest(inventory, "");
        const LogFaults faults = std::exchange(m_cluster->log().faults(), {});
        m_cluster->log().append(STREAM, encodeConfigurationRecord(record).value(), "",
                                m_loop->now());
        m_cluster->log().faults() = faults;
    }
    bool waitFor(const std::function<bool()> &condition)
    {
        const TimePoint end = m_loop->now() + seconds(20);
        while (!condition() && m_loop->now() < end) {
            m_loop->sleepFor(milliseconds(1));
        }
        return condition();
    }
    bool waitForVersion(std::uint64_t version)
    {
        return waitFor([this, version] {
            const auto &hosts = m_cluster->hosts();
            return std::all_of(hosts.begin(), hosts.end(),
                               [version](const auto &host) { return host->version() == version; });
        });
    }
    void performRandomStep(IRandom & random, std::uint64_t & version)
    {
        LogFaults &faults = m_cluster->log().faults();
        const std::string domain(1, static_cast<char>('a' + random.below(3)));
        switch (random.below(8)) {
        case 0:
        case 1:
            append(version++, "winner");
            append(version - 1, "loser");
            break;
        case 2:
            faults.isDown = !faults.isDown;
            break;
        case 3:
            faults.isSilent = !faults.isSilent;
            break;
        case 4:
            faults.staleness = milliseconds(random.below(20));
            break;
        case 5:
            m_cluster->network().cutOff(random.below(2) == 0
                                            ? std::set<DomainName>()
                                            : std::set<DomainName>{ DomainName(domain) });
            break;
        case 6:
            replaceHost(random);
            break;
        default:
            forgetWhatIsCovered();
        }
    }
    void replaceHost(IRandom & random)
    {
        const auto &hosts = m_cluster->hosts();
        const ControlPeer peer = hosts[random.below(hosts.size())]->peer;
        m_cluster->remove(peer.id.value());
        m_cluster->add(peer.id.value(), peer.domain.value());
    }
    /// As the log does long after a snapshot was written: forgets what lies before its position.
    void forgetWhatIsCovered()
    {
        LogOffset anchor;
        for (const auto &host : m_cluster->hosts()) {
            anchor = std::max(anchor, host->follower->status().anchor);
        }
        m_cluster->log().forgetBefore(STREAM, anchor);
    }
    /// No follower ever went back to an older version.
    void checkHistories()
    {
        for (const auto &host : m_cluster->hosts()) {
            CHECK(std::is_sorted(host->history.begin(), host->history.end()));
        }
    }
};

TEST(ConfigurationFollower, AllFollowTheStream)
{
    run([this] {
        startHosts(4);
        append(0, "first");
        CHECK(waitForVersion(1));
        append(1, "second");
        append(1, "loser");
        CHECK(waitForVersion(2));
        checkHistories();
    });
}

// Operators see the change in force also in a domain that cannot reach the platform.
// 1. The log answers no daemon of domain c; c still reaches the other domains.
// 2. A change is published; a and b read it, and c hears of it from them.
TEST(ConfigurationFollower, ADomainCutFromThePlatformFollowsItsPeers)
{
    run([this] {
        startHosts(3);
        m_cluster->log().faults().cutClients = { "c0", "c1", "c2" };
        append(0, "first");
        CHECK(waitForVersion(1));
        append(1, "second");
        CHECK(waitForVersion(2));
    });
}

// 1. A domain is cut from its peers and from the platform; it keeps the version that it has.
// 2. Two changes are accepted meanwhile. When the cut ends, the domain takes the newest one.
TEST(ConfigurationFollower, ASeparatedDomainKeepsItsVersionAndCatchesUp)
{
    run([this] {
        startHosts(3);
        append(0, "first");
        CHECK(waitForVersion(1));
        m_cluster->network().cutOff({ DomainName("c") });
        m_cluster->log().faults().cutClients = { "c0", "c1", "c2" };
        append(1, "second");
        append(2, "third");
        CHECK(waitFor([this] { return m_cluster->hosts()[0]->version() == 3; }));
        CHECK_EQUAL(1, m_cluster->hosts().back()->version());
        m_cluster->network().cutOff({});
        CHECK(waitForVersion(3));
        checkHistories();
    });
}

// A host is replaced while the log is down: it starts with what its peers hold. When the log is
// back it can judge changes, as the peers also told the position, although older records are gone.
TEST(ConfigurationFollower, AFreshHostStartsFromPeersWhileTheLogIsDown)
{
    run([this] {
        startHosts(2);
        append(0, "first");
        CHECK(waitForVersion(1));
        m_cluster->log().faults().isDown = true;
        FollowerHost &fresh = m_cluster->add("a9", "a");
        CHECK(waitForVersion(1));
        m_cluster->log().forgetBefore(STREAM, LogOffset(1));
        m_cluster->log().faults().isDown = false;
        append(1, "second");
        CHECK(waitForVersion(2));
        CHECK(waitFor([&] { return fresh.follower->status().hasLogState; }));
    });
}

// All daemons are replaced, one by one, while the log is down. The version must not be lost.
TEST(ConfigurationFollower, TheVersionSurvivesTheReplacementOfAllHostsDuringAnOutage)
{
    run([this] {
        startHosts(2);
        append(0, "first");
        append(1, "second");
        CHECK(waitForVersion(2));
        m_cluster->log().faults().isSilent = true;
        for (const char *id : { "a0", "a1", "b0", "b1", "c0", "c1" }) {
            m_cluster->add(std::string(id) + "-next", std::string(1, id[0]));
            CHECK(waitForVersion(2));
            m_cluster->remove(id);
        }
        m_cluster->log().faults().isSilent = false;
        append(2, "third");
        CHECK(waitForVersion(3));
    });
}

TEST(ConfigurationFollower, StaleReadsAndOutagesDoNotRevert)
{
    run([this] {
        startHosts(2);
        for (std::uint64_t version = 0; version < 12; ++version) {
            LogFaults &faults = m_cluster->log().faults();
            faults.staleness = milliseconds(version % 3 == 0 ? 30 : 0);
            faults.isDown = version % 4 == 1;
            if (faults.isDown) {
                m_loop->sleepFor(milliseconds(10));
                faults.isDown = false;
            }
            append(version, "text");
            CHECK(waitFor([&] { return m_cluster->hosts()[version % 6]->version() > version; }));
        }
        CHECK(waitForVersion(12));
        checkHistories();
    });
}

// A version was accepted that an older program cannot read. It must keep what it has in force, and
// still pass the version on to daemons that can.
TEST(ConfigurationFollower, AnUnreadableVersionIsHeldButNotInForce)
{
    run([this] {
        startHosts(2);
        append(0, "first");
        CHECK(waitForVersion(1));
        append(1, "unreadable by this program");
        CHECK(waitFor([this] {
            return std::all_of(
                m_cluster->hosts().begin(), m_cluster->hosts().end(),
                [](const auto &host) { return host->follower->status().accepted.value() == 2; });
        }));
        const ConfigurationStatus status = m_cluster->hosts()[0]->follower->status();
        CHECK_EQUAL(1, status.inForce.value());
        CHECK_FALSE(status.unreadable.empty());
        append(2, "third");
        CHECK(waitForVersion(3));
        CHECK(m_cluster->hosts()[0]->follower->status().unreadable.empty());
    });
}

// The log forgets the change. A host that starts later, with no peer, must find the version.
TEST(ConfigurationFollower, SnapshotsOutliveTheChange)
{
    m_settings.follower.snapshot.retention = milliseconds(40);
    m_settings.follower.snapshot.jitter = milliseconds(5);
    run([this] {
        FollowerHost &writer = m_cluster->add("a0", "a");
        append(0, "first");
        CHECK(waitFor([&] { return writer.follower->status().snapshotsAppended > 0; }));
        m_cluster->remove("a0");
        m_cluster->log().forgetBefore(STREAM, LogOffset(1));
        FollowerHost &fresh = m_cluster->add("b0", "b");
        CHECK(waitForVersion(1));
        CHECK(fresh.follower->status().hasLogState);
        append(1, "second");
        CHECK(waitForVersion(2));
    });
}

// Changes and losers are published while the log is down, silent, stale or cut for a domain,
// domains are cut from each other, hosts are replaced, and the log forgets what a snapshot covers.
// At no time does a daemon go back, and in the end all agree with the stream.
TEST(ConfigurationFollower, NoVersionIsLostUnderRandomFaults)
{
    m_settings.follower.snapshot.retention = milliseconds(80);
    m_settings.follower.snapshot.jitter = milliseconds(5);
    m_settings.logTimeout = milliseconds(20);
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        run([this, seed] {
            SeededRandom random(seed);
            startHosts(2);
            std::uint64_t version = 0;
            for (int step = 0; step < 40; ++step) {
                performRandomStep(random, version);
                m_loop->sleepFor(milliseconds(random.below(8)));
                checkHistories();
            }
            m_cluster->log().faults() = {};
            m_cluster->network().cutOff({});
            append(version++, "last");
            CHECK(waitForVersion(version));
        });
    }
}

TEST(ConfigurationFollower, RecordsOfOthersAreSkipped)
{
    run([this] {
        startHosts(1);
        m_cluster->log().append(STREAM, "not a record", "", m_loop->now());
        append(0, "first");
        CHECK(waitForVersion(1));
    });
}
