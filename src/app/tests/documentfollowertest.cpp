#include <deque>
#include <map>
#include <memory>

#include "app/internal/control/documentfollower.h"
#include "app/internal/control/memberdirectory.h"
#include "app/tests/mocks/fakekeyedlog.h"
#include "app/tests/mocks/silentobservers.h"
#include "state/internal/seededrandom.h"
#include "transport/tests/looprunner.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const StreamName STREAM("configurations");

/// A document is just its version.
class NumberReader : public IDocumentReader
{
public:
    RetVal<ConfigurationPtr> read(const std::string &document) const override
    {
        const std::uint64_t version = std::strtoull(document.c_str(), nullptr, 10);
        if (version == 0) {
            return makeError(ErrorCode::InvalidArgument, "not a number");
        }
        const boost::intrusive_ptr<Configuration> read(new Configuration);
        read->version = ConfigurationVersion(version);
        return ConfigurationPtr(read);
    }
};

class RecordingExchange : public IControlExchange
{
public:
    std::vector<ControlPeer> peers() const override
    {
        return { { DaemonId("peer"), DomainName("here") } };
    }
    void send(const DaemonId & /*to*/, std::string payload) override
    {
        const auto message = decodeDocumentMessage(payload);
        if (message) {
            sent.push_back(*message);
        }
    }

    std::vector<DocumentMessage> sent;
};

DocumentFollowerSettings makeSettings()
{
    DocumentFollowerSettings settings;
    settings.stream = STREAM;
    settings.key = "newest";
    settings.retry = std::chrono::milliseconds(1);
    settings.offerPatience = std::chrono::milliseconds(1);
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
    std::unique_ptr<DocumentFollower> m_follower;

    void start()
    {
        m_runner.run([this] {
            ConfigurationEvents events;
            events.onConfiguration = [this](const ConfigurationPtr &configuration) {
                m_versions.push_back(configuration->version.value());
            };
            m_follower = std::make_unique<DocumentFollower>(m_settings, m_runner.loop(), m_log,
                                                            m_reader, m_exchange, m_random, events);
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

TEST(DocumentFollower, TakesTheNewestAndThenEachThatComes)
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

// 1. A new version is out, but this daemon's connection to the log is silent, and none of those who
//    adopted the version happened to tell it.
// 2. It tells a peer which version it has, again and again. One that knows a newer one says so.
// 3. Without that it would answer callers by the old version until its read is given up.
TEST(DocumentFollower, SaysAgainAndAgainWhichVersionIsInForceHere)
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

TEST(DocumentFollower, WhoOffersAnOlderVersionHearsOfTheNewerOne)
{
    m_log.write(STREAM, "newest", "7");
    start();
    CHECK(m_runner.reaches([this] { return !m_versions.empty(); }));
    m_runner.run([this] {
        m_exchange.sent.clear();
        m_follower->receive(DaemonId("peer"),
                            encodeDocumentMessage(DocumentOffer{ ConfigurationVersion(6) }));
        CHECK_EQUAL(1, m_exchange.sent.size());
        m_follower->receive(DaemonId("peer"),
                            encodeDocumentMessage(DocumentOffer{ ConfigurationVersion(7) }));
        CHECK_EQUAL(1, m_exchange.sent.size());
    });
}

// 1. The log has forgotten the records after the place where the daemon stopped.
// 2. The newest document stands all the same. A daemon that waited for the lost ones would go on
//    under its old configuration for ever.
TEST(DocumentFollower, ALogThatForgotItsHistoryIsReadAnew)
{
    m_log.write(STREAM, "newest", "7");
    start();
    CHECK(m_runner.reaches([this] { return !m_versions.empty(); }));
    m_runner.run([this] {
        m_log.isForgetful = true;
        m_log.write(STREAM, "newest", "8");
        m_log.cancel();
    });
    CHECK(m_runner.reaches([this] { return m_versions.size() == 2; }));
    CHECK_EQUAL(8, m_versions[1]);
}

// 1. The platform turns this daemon away, and serves others.
// 2. It asks a peer, and takes what the peer pushes.
TEST(DocumentFollower, ADaemonThatIsTurnedAwayFollowsItsPeers)
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

TEST(DocumentFollower, NeverGoesBack)
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

TEST(DocumentFollower, AnswersAPeerThatIsBehind)
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

// A configuration read that went silent must not leave the daemon behind when others know better.
TEST(DocumentFollower, ADaemonThatHearsOfANewerVersionAsksForIt)
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
    std::vector<std::string> m_found;
    std::unique_ptr<MemberDirectory> m_directory;

    void start()
    {
        m_runner.run([this] {
            MemberDirectorySettings settings;
            settings.stream = STREAM;
            settings.self = DaemonId("a");
            settings.endpoint = Endpoint{ "10.0.0.1", 7000 };
            m_directory = std::make_unique<MemberDirectory>(
                settings, m_runner.loop(), m_log, m_observers.observers(),
                [this](const Endpoint &endpoint) { m_found.push_back(endpoint.text()); });
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

TEST(MemberDirectory, EntersItselfAndFindsTheOthers)
{
    m_log.write(STREAM, "b", "10.0.0.2:7000");
    m_log.write(STREAM, "c", "not an endpoint");
    start();
    CHECK(m_runner.reaches([this] { return m_log.writes(STREAM) == 3; }));
    m_runner.run([this] { m_log.write(STREAM, "d", "10.0.0.4:7000"); });
    CHECK(m_runner.reaches([this] { return m_found.size() == 2; }));
    STRCMP_EQUAL("10.0.0.2:7000", m_found[0].c_str());
    STRCMP_EQUAL("10.0.0.4:7000", m_found[1].c_str());
}

// When hundreds of daemons start again at once, none of them writes what stands there already.
TEST(MemberDirectory, ADaemonThatStandsThereDoesNotWrite)
{
    m_log.write(STREAM, "a", "10.0.0.1:7000");
    start();
    m_runner.run([this] { m_log.write(STREAM, "b", "10.0.0.2:7000"); });
    CHECK(m_runner.reaches([this] { return m_found.size() == 1; }));
    CHECK_EQUAL(2, m_log.writes(STREAM));
}
