#include <deque>
#include <map>
#include <memory>

#include "app/internal/control/documentfollower.h"
#include "app/internal/control/memberdirectory.h"
#include "app/tests/mocks/fakekeyedlog.h"
#include "app/tests/mocks/numberreader.h"
#include "app/tests/mocks/silentobservers.h"
#include "state/internal/seededrandom.h"
#include "transport/tests/looprunner.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const StreamName STREAM("configurations");

class RecordingExchange : public IControlExchange
{
public:
    std::vector<ControlPeer> peers() const override { return others; }
    void send(const DaemonId &to, std::string payload) override
    {
        receivers.push_back(to);
        const auto message = decodeDocumentMessage(payload);
        if (message) {
            sent.push_back(*message);
        }
    }

    std::vector<ControlPeer> others{ { DaemonId("peer"), DomainName("here") } };
    std::vector<DaemonId> receivers;
    std::vector<DocumentMessage> sent;
};

DocumentFollowerSettings makeSettings()
{
    DocumentFollowerSettings settings;
    settings.stream = STREAM;
    settings.key = "newest";
    settings.freshness.baseRetryInterval = std::chrono::milliseconds(1);
    settings.offeredVersionTimeout = std::chrono::milliseconds(1);
    settings.offerInterval = std::chrono::hours(1);
    return settings;
}

} // namespace

TEST_GROUP(DocumentFollower)
{
    LoopRunner m_runner;
    FakeKeyedLog m_log{ m_runner.loop() };
    NumberReader m_reader;
    RecordingExchange m_exchange;
    DocumentFollowerSettings m_settings = makeSettings();
    SeededRandom m_random{ 3 };
    std::vector<std::uint64_t> m_versions;
    std::vector<ConfigurationOrigin> m_origins;
    std::vector<LogContact> m_contacts;
    std::unique_ptr<DocumentFollower> m_follower;

    /// Adds enough peers in the failure domain that this daemon is not a reader.
    void makeNonReader()
    {
        m_settings.self = DaemonId("self");
        m_settings.domain = DomainName("here");
        m_settings.readersPerDomain = 1;
        m_settings.freshness.applyWithin = std::chrono::hours(1);
        for (int i = 0; i < 20; ++i) {
            m_exchange.others.push_back(
                { DaemonId("near-" + std::to_string(i)), m_settings.domain });
        }
    }
    void start()
    {
        m_runner.run([this] {
            ConfigurationEvents events;
            events.onConfiguration = [this](const ConfigurationPtr &configuration,
                                            const ConfigurationOrigin &origin) {
                m_versions.push_back(configuration->version.value());
                m_origins.push_back(origin);
            };
            events.onLogContact = [this](const LogContact &contact) {
                m_contacts.push_back(contact);
            };
            m_follower = std::make_unique<DocumentFollower>(m_settings, m_runner.loop(),
                                                            DocumentLogs{ m_log, m_log }, m_reader,
                                                            m_exchange, m_random, events);
            m_follower->start();
        });
    }
    void teardown() override
    {
        m_runner.run([this] {
            m_follower->stop();
            m_follower.reset();
        });
    }
};

TEST(DocumentFollower, AppliesTheNewestDocumentAndEachLaterOne)
{
    m_log.write(STREAM, "other", "99");
    m_log.write(STREAM, "newest", "7");
    start();
    CHECK(m_runner.reaches([this] { return !m_versions.empty(); }));
    m_runner.run([this] { m_log.write(STREAM, "newest", "9"); });
    CHECK(m_runner.reaches([this] { return m_versions.size() == 2; }));
    CHECK_EQUAL(7, m_versions[0]);
    CHECK_EQUAL(9, m_versions[1]);
}

// Guards against an old version that stays in force until the read times out, when the connection
// to the log went silent and no peer happened to offer the new version. A peer answers a periodic
// offer of an older version with its newer one.
TEST(DocumentFollower, OffersItsVersionPeriodically)
{
    m_settings.offerInterval = std::chrono::milliseconds(5);
    m_log.write(STREAM, "newest", "7");
    start();
    const auto offers = [this] {
        std::size_t count = 0;
        for (const DocumentMessage &message : m_exchange.sent) {
            const auto *offer = std::get_if<DocumentOffer>(&message);
            count += offer && offer->version == ConfigurationVersion(7) ? 1 : 0;
        }
        return count;
    };
    CHECK(m_runner.reaches([&] { return offers() > 5; }));
}

TEST(DocumentFollower, AnswersAnOlderOfferWithItsNewerVersion)
{
    m_log.write(STREAM, "newest", "7");
    start();
    CHECK(m_runner.reaches([this] { return !m_versions.empty(); }));
    m_runner.run([this] {
        m_exchange.sent.clear();
        m_follower->receive(DaemonId("peer"),
                            encodeDocumentMessage(DocumentOffer{ ConfigurationVersion(6) }));
        CHECK_EQUAL(1, m_exchange.sent.size());
        m_follower->receive(
            DaemonId("peer"),
            encodeDocumentMessage(DocumentOffer{ ConfigurationVersion(7), Duration::zero() }));
        CHECK_EQUAL(1, m_exchange.sent.size());
    });
}

// Guards against an old configuration that stays in force for ever when the log truncated the
// records after the daemon's position. The newest document is still in the log.
TEST(DocumentFollower, ReadsNewestRecordsAfterLogTruncation)
{
    m_log.write(STREAM, "newest", "7");
    start();
    CHECK(m_runner.reaches([this] { return !m_versions.empty(); }));
    m_runner.run([this] {
        m_log.isTruncated = true;
        m_log.write(STREAM, "newest", "8");
        m_log.cancel();
    });
    CHECK(m_runner.reaches([this] { return m_versions.size() == 2; }));
    CHECK_EQUAL(8, m_versions[1]);
}

// The platform refuses this daemon and serves others: it requests the document from a peer.
TEST(DocumentFollower, FollowsPeersWhenTheLogRefusesIt)
{
    m_log.isDown = true;
    start();
    CHECK(m_runner.reaches([this] { return !m_exchange.sent.empty(); }));
    m_runner.run([this] {
        CHECK(std::holds_alternative<DocumentRequest>(m_exchange.sent[0]));
        const auto push = encodeDocumentMessage(DocumentPush{ "12" });
        CHECK(m_follower->receive(DaemonId("peer"), push));
    });
    CHECK_EQUAL(12, m_versions.at(0));
}

TEST(DocumentFollower, ReportsLossAndRecoveryOfTheLog)
{
    m_log.isDown = true;
    start();
    CHECK(m_runner.reaches([this] { return m_contacts.size() == 1; }));
    m_runner.run([this] {
        m_log.write(STREAM, "newest", "7");
        m_log.isDown = false;
    });
    CHECK(m_runner.reaches([this] { return m_contacts.size() == 2; }));
    CHECK(m_contacts[0].isLost);
    STRCMP_EQUAL("down", m_contacts[0].error.c_str());
    CHECK_FALSE(m_contacts[1].isLost);
    STRCMP_EQUAL("log", m_origins.at(0).source.c_str());
}

TEST(DocumentFollower, NeverRevertsToAnOlderVersion)
{
    m_log.write(STREAM, "newest", "7");
    start();
    CHECK(m_runner.reaches([this] { return !m_versions.empty(); }));
    m_runner.run([this] {
        m_follower->receive(DaemonId("peer"), encodeDocumentMessage(DocumentPush{ "5" }));
        m_follower->receive(DaemonId("peer"), encodeDocumentMessage(DocumentPush{ "rubbish" }));
    });
    CHECK_EQUAL(1, m_versions.size());
}

// Guards against a missed change whose offset was already read before the log was restored from an
// older copy, and against a return to the version in that copy.
TEST(DocumentFollower, ReadsNewestRecordsAfterLogIsRestoredFromOlderCopy)
{
    for (const char *version : { "3", "4", "5" }) {
        m_log.write(STREAM, "newest", version);
    }
    start();
    CHECK(m_runner.reaches([this] { return m_versions == std::vector<std::uint64_t>{ 5 }; }));
    m_runner.run([this] {
        m_log.restoreOlderCopy(STREAM, 2);
        m_log.write(STREAM, "newest", "6");
        for (int i = 0; i < 3; ++i) {
            m_log.write(STREAM, "other", "1");
        }
    });
    CHECK(m_runner.reaches([this] { return m_versions.back() == 6; }));
    CHECK((m_versions == std::vector<std::uint64_t>{ 5, 6 }));
}

// The newest change is written again some time after the restore.
TEST(DocumentFollower, KeepsVersionInForceWhenLogIsRestoredFromOlderCopy)
{
    m_log.write(STREAM, "newest", "3");
    m_log.write(STREAM, "newest", "5");
    start();
    CHECK(m_runner.reaches([this] { return m_versions == std::vector<std::uint64_t>{ 5 }; }));
    m_runner.run([this] {
        m_log.restoreOlderCopy(STREAM, 1);
        m_runner.loop().sleepFor(std::chrono::milliseconds(20));
        m_log.write(STREAM, "newest", "5");
        m_log.write(STREAM, "newest", "6");
    });
    CHECK(m_runner.reaches([this] { return m_versions.back() == 6; }));
    CHECK((m_versions == std::vector<std::uint64_t>{ 5, 6 }));
}

TEST(DocumentFollower, PushesDocumentToAPeerWithAnOlderVersion)
{
    m_log.write(STREAM, "newest", "7");
    start();
    CHECK(m_runner.reaches([this] { return !m_versions.empty(); }));
    m_runner.run([this] {
        m_exchange.sent.clear();
        const DocumentRequest behind{ ConfigurationVersion(6) };
        m_follower->receive(DaemonId("peer"), encodeDocumentMessage(behind));
        const DocumentRequest equal{ ConfigurationVersion(7) };
        m_follower->receive(DaemonId("peer"), encodeDocumentMessage(equal));
    });
    CHECK_EQUAL(1, m_exchange.sent.size());
    STRCMP_EQUAL("7", std::get<DocumentPush>(m_exchange.sent[0]).document.c_str());
}

// Guards against one read per daemon for each new version. With enough readers in the failure
// domain, this daemon reads only at its start and then requests the versions that peers offer.
TEST(DocumentFollower, NonReaderLearnsOfVersionsFromPeers)
{
    makeNonReader();
    // The clock is real: no repeat may be due before the check.
    m_settings.offeredVersionTimeout = std::chrono::hours(1);
    m_log.write(STREAM, "newest", "7");
    start();
    CHECK(m_runner.reaches([this] { return !m_versions.empty(); }));
    m_runner.run([this] {
        m_log.write(STREAM, "newest", "8");
        m_runner.loop().sleepFor(std::chrono::milliseconds(20));
    });
    CHECK_EQUAL(1, m_versions.size());
    m_runner.run([this] {
        m_exchange.sent.clear();
        const DocumentOffer offer{ ConfigurationVersion(8) };
        m_follower->receive(DaemonId("peer"), encodeDocumentMessage(offer));
        m_follower->receive(DaemonId("other"), encodeDocumentMessage(offer));
    });
    CHECK_EQUAL(1, m_exchange.sent.size());
    CHECK(std::holds_alternative<DocumentRequest>(m_exchange.sent[0]));
}

// Guards against an old version that stays in force when all readers are gone, cut off from the log
// or refused by it at the same time.
TEST(DocumentFollower, NonReaderReadsLogWhenNoPeerConfirms)
{
    makeNonReader();
    m_settings.freshness.applyWithin = std::chrono::milliseconds(4);
    m_log.write(STREAM, "newest", "7");
    start();
    CHECK(m_runner.reaches([this] { return !m_versions.empty(); }));
    m_runner.run([this] {
        m_exchange.sent.clear();
        m_log.write(STREAM, "newest", "8");
    });
    CHECK(m_runner.reaches([this] { return m_versions.size() == 2; }));
    CHECK_EQUAL(8, m_versions[1]);
    CHECK(std::holds_alternative<DocumentOffer>(m_exchange.sent.at(0)));
}

// When the readers of the failure domain are dead, this daemon becomes a reader. It must not wait
// for its next scheduled read, which may be minutes away.
TEST(DocumentFollower, StartsLongPollAtOnceWhenItBecomesAReader)
{
    makeNonReader();
    m_settings.offerInterval = std::chrono::milliseconds(5);
    m_log.write(STREAM, "newest", "7");
    start();
    CHECK(m_runner.reaches([this] { return !m_versions.empty(); }));
    m_runner.run([this] {
        m_exchange.others.clear();
        m_log.write(STREAM, "newest", "8");
    });
    CHECK(m_runner.reaches([this] { return m_versions.size() == 2; }));
}

// A peer offers a new version and ends before it answers the request; another peer that offered the
// version is asked after a timeout.
TEST(DocumentFollower, RequestsFromAnotherPeerWhenTheFirstDoesNotAnswer)
{
    makeNonReader();
    m_log.write(STREAM, "newest", "7");
    start();
    CHECK(m_runner.reaches([this] { return !m_versions.empty(); }));
    m_runner.run([this] {
        m_exchange.receivers.clear();
        const DocumentOffer offer{ ConfigurationVersion(8) };
        m_follower->receive(DaemonId("gone"), encodeDocumentMessage(offer));
        m_follower->receive(DaemonId("other"), encodeDocumentMessage(offer));
    });
    CHECK(m_runner.reaches([this] { return m_exchange.receivers.size() >= 2; }));
    STRCMP_EQUAL("gone", m_exchange.receivers[0].value().c_str());
    STRCMP_EQUAL("other", m_exchange.receivers[1].value().c_str());
}

TEST(DocumentFollower, SendsMostOffersWithinTheFailureDomain)
{
    m_settings.offerInterval = std::chrono::milliseconds(1);
    m_settings.domain = DomainName("here");
    m_exchange.others.push_back({ DaemonId("far"), DomainName("there") });
    m_log.write(STREAM, "newest", "7");
    start();
    CHECK(m_runner.reaches([this] { return m_exchange.receivers.size() > 200; }));
    const auto far =
        std::count(m_exchange.receivers.begin(), m_exchange.receivers.end(), DaemonId("far"));
    CHECK(far > 0);
    CHECK(far < static_cast<std::ptrdiff_t>(m_exchange.receivers.size() / 4));
}

// Guards against a daemon that cannot read the newest document and confirms an older version as the
// newest to its peers.
TEST(DocumentFollower, OffersNoAgeWhenTheNewestDocumentIsUnreadable)
{
    m_log.write(STREAM, "newest", "7");
    start();
    CHECK(m_runner.reaches([this] { return !m_versions.empty(); }));
    m_runner.run([this] { m_log.write(STREAM, "newest", "rubbish"); });
    CHECK(m_runner.reaches([this] { return !m_follower->status().unreadable.empty(); }));
    m_runner.run([this] {
        m_exchange.sent.clear();
        const DocumentOffer older{ ConfigurationVersion(6), std::nullopt };
        m_follower->receive(DaemonId("peer"), encodeDocumentMessage(older));
        CHECK_EQUAL(1, m_exchange.sent.size());
    });
    const DocumentOffer answer = std::get<DocumentOffer>(m_exchange.sent[0]);
    CHECK_EQUAL(7, answer.version.value());
    CHECK_FALSE(answer.age.has_value());
}

// Guards against continuous reads of a log that answers long polls at once.
TEST(DocumentFollower, LimitsReadRateWhenLogDoesNotHoldReads)
{
    m_log.supportsLongPoll = false;
    m_log.write(STREAM, "newest", "7");
    start();
    CHECK(m_runner.reaches([this] { return !m_versions.empty(); }));
    std::size_t reads = 0;
    m_runner.run([&] {
        m_runner.loop().sleepFor(std::chrono::milliseconds(50));
        reads = m_log.reads;
    });
    CHECK(reads < 10);
}

// Guards against an old version that stays in force during a silent read although peers offer a
// newer one.
TEST(DocumentFollower, RequestsAnOfferedNewerVersion)
{
    m_log.write(STREAM, "newest", "7");
    start();
    CHECK(m_runner.reaches([this] { return !m_versions.empty(); }));
    m_runner.run([this] {
        m_exchange.sent.clear();
        const DocumentOffer offer{ ConfigurationVersion(8) };
        m_follower->receive(DaemonId("peer"), encodeDocumentMessage(offer));
    });
    CHECK(m_runner.reaches([this] { return !m_exchange.sent.empty(); }));
    CHECK(std::holds_alternative<DocumentRequest>(m_exchange.sent[0]));
}

TEST_GROUP(MemberDirectory)
{
    LoopRunner m_runner;
    FakeKeyedLog m_log{ m_runner.loop() };
    SilentObservers m_observers;
    SeededRandom m_random{ 4 };
    std::vector<std::string> m_found;
    std::size_t m_directorySize = 0;
    Duration m_meanReadInterval = std::chrono::milliseconds(1);
    std::size_t m_readsDuringRegistrations = 0;
    std::unique_ptr<MemberDirectory> m_directory;

    void start()
    {
        m_runner.run([this] {
            MemberDirectorySettings settings;
            settings.stream = STREAM;
            settings.self = DaemonId("a");
            settings.selfSeed = { Endpoint{ "10.0.0.1", 7000 }, DomainName("here") };
            settings.meanReadInterval = m_meanReadInterval;
            m_directory = std::make_unique<MemberDirectory>(
                settings, m_runner.loop(), m_log, m_random, m_observers.observers(),
                [this](const MembershipSeed &seed) { m_found.push_back(seed.endpoint.text()); },
                [this](std::size_t daemons) { m_directorySize = daemons; },
                [] { return std::size_t(1); });
            m_directory->start();
        });
    }
    void teardown() override
    {
        m_runner.run([this] {
            m_directory->stop();
            m_directory.reset();
        });
    }
};

TEST(MemberDirectory, RegistersItselfAndFindsOtherDaemons)
{
    m_log.write(STREAM, "b", "10.0.0.2:7000");
    m_log.write(STREAM, "c", "not an endpoint");
    start();
    CHECK(m_runner.reaches([this] { return m_log.writes(STREAM) == 3; }));
    m_runner.run([this] { m_log.write(STREAM, "d", "10.0.0.4:7000"); });
    CHECK(m_runner.reaches([this] { return m_found.size() == 2; }));
    CHECK_COMPARE(m_directorySize, >=, 2);
    STRCMP_EQUAL("10.0.0.2:7000", m_found[0].c_str());
    STRCMP_EQUAL("10.0.0.4:7000", m_found[1].c_str());
}

// Guards against entries of another writer that take the places of daemons or end the directory.
TEST(MemberDirectory, OddEntriesNameNoDaemon)
{
    std::size_t number = 0;
    for (const std::string &value :
         { std::string("10.0.0.2:0"), std::string("10.0.0.2:99999"), std::string("10.0.0.2:-1"),
           std::string("10.0.0.2:1e999"), std::string(100000, '['), std::string("\xff\xfe"),
           std::string(), std::string(" "), std::string(":7000") }) {
        m_log.write(STREAM, "odd-" + std::to_string(++number), value);
    }
    m_log.write(STREAM, std::string(255, '\xff'), "10.0.0.3:7000");
    m_log.write(STREAM, "a", "10.0.0.1:0 here");
    start();
    CHECK(m_runner.reaches([this] { return m_log.writes(STREAM) == 12; }));
    CHECK((m_found == std::vector<std::string>{ "10.0.0.3:7000" }));
}

// Two daemons start together, and one reads before the other is registered. Without a read after
// the registration, neither would find the other before its next scheduled read.
TEST(MemberDirectory, ReadsAgainAfterRegistration)
{
    m_meanReadInterval = std::chrono::hours(1);
    m_log.onPut = [this] { m_log.write(STREAM, "b", "10.0.0.2:7000"); };
    start();
    CHECK(m_runner.reaches([this] { return m_found.size() == 1; }));
}

// Guards against a read by each daemon for each registration: the number of reads at a start of all
// would be quadratic in the number of daemons.
TEST(MemberDirectory, DoesNotReadOnEachRegistration)
{
    m_meanReadInterval = std::chrono::hours(1);
    start();
    CHECK(m_runner.reaches([this] { return m_log.writes(STREAM) == 1; }));
    m_runner.run([this] {
        const std::size_t before = m_log.reads;
        for (int i = 0; i < 100; ++i) {
            m_log.write(STREAM, "daemon-" + std::to_string(i), "10.0.0.2:7000");
            m_runner.loop().sleepFor(std::chrono::microseconds(100));
        }
        m_readsDuringRegistrations = m_log.reads - before;
    });
    CHECK(m_readsDuringRegistrations <= 1);
}

// Guards against a daemon that others cannot find because the log lost its record.
TEST(MemberDirectory, RegistersAgainWhenItsRecordIsLost)
{
    m_meanReadInterval = std::chrono::milliseconds(2);
    start();
    CHECK(m_runner.reaches([this] { return m_log.writes(STREAM) == 1; }));
    m_runner.run([this] { m_log.restoreOlderCopy(STREAM, 1); });
    CHECK(m_runner.reaches([this] { return m_log.writes(STREAM) == 1; }));
}

// Guards against hundreds of unnecessary writes when all daemons restart at once.
TEST(MemberDirectory, DoesNotWriteWhenAlreadyRegistered)
{
    m_log.write(STREAM, "a", "10.0.0.1:7000 here");
    start();
    m_runner.run([this] { m_log.write(STREAM, "b", "10.0.0.2:7000"); });
    CHECK(m_runner.reaches([this] { return m_found.size() == 1; }));
    CHECK_EQUAL(2, m_log.writes(STREAM));
}
