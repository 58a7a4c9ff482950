#include "app/internal/gate/crashdetector.h"

#include "app/tests/mocks/inlineeventloop.h"
#include "state/internal/seededrandom.h"
#include "transport/tests/mocks/mockhttpclient.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

TEST_GROUP(CrashDetector)
{
    InlineEventLoop m_loop;
    MockHttpClient m_client;
    SeededRandom m_random{ 1 };
    CrashDetector m_detector{ m_loop, m_client, m_random };

    static Announcement server(const std::string &instance = "i-1", std::uint64_t start = 1000)
    {
        return Announcement{ { ServiceName("catalogo"), 10, 10, false },
                             { "127.0.0.1", 9000 },
                             { UpstreamId(instance), UpstreamStart(start) } };
    }
    ServerState check(const Announcement &server)
    {
        return check(server, m_loop.now());
    }
    ServerState check(const Announcement &server, TimePoint sentAt)
    {
        return m_detector.check({ server, sentAt });
    }
    bool isKnownEnded(const Announcement &server)
    {
        return m_detector.isKnownEnded({ server, m_loop.now() });
    }
    UpstreamRunName runOf(const Announcement &server, TimePoint sentAt)
    {
        return m_detector.runOf({ server, sentAt });
    }
};

// Guards against treating a broken answer of a running server as its end.
TEST(CrashDetector, ServerThatAcceptsConnectionsIsRunning)
{
    CHECK(check(server()) == ServerState::Running);
    CHECK_FALSE(isKnownEnded(server()));
}

TEST(CrashDetector, ServerThatRefusesConnectionsHasEnded)
{
    const TimePoint sentAt = m_loop.now();
    m_client.isUp = false;
    CHECK(check(server(), sentAt) == ServerState::EndDetected);
    CHECK(check(server(), sentAt) == ServerState::Ended);
    CHECK(check(server()) == ServerState::Ended);
    CHECK_EQUAL(1, m_client.probed.size());
}

// Guards against a server on a busy host that counts as running because a process that ends closes
// its listener last.
TEST(CrashDetector, ListenerThatClosesLateIsWaitedFor)
{
    struct DyingServer : MockHttpClient
    {
        bool isListening(const Endpoint & /*endpoint*/) override
        {
            return m_loop->now() < m_closesAt;
        }
        const IEventLoop *m_loop = nullptr;
        TimePoint m_closesAt;
    } client;
    client.m_loop = &m_loop;
    client.m_closesAt = m_loop.now() + 20ms;
    CrashDetector detector(m_loop, client, m_random);
    const Announcement dying = server();
    const ServerSend send{ dying, m_loop.now() };
    CHECK(detector.check(send) == ServerState::Running);
    CHECK(detector.check(send, CrashDetector::LONG_CLOSE_TIME) == ServerState::EndDetected);
}

// Guards against treating a run as ended because the previous run has ended.
TEST(CrashDetector, NextRunIsCheckedAgain)
{
    m_client.isUp = false;
    CHECK(check(server()) == ServerState::EndDetected);
    m_client.isUp = true;
    CHECK(check(server("i-2")) == ServerState::Running);
    CHECK(check(server("i-1", 2000)) == ServerState::Running);
}

TEST(CrashDetector, AnnouncementClearsEndOfRunWithoutStartTime)
{
    for (const char *instance : { "", "i-1" }) {
        m_client.isUp = false;
        CHECK(check(server(instance, 0)) == ServerState::EndDetected);
        m_detector.onAnnounced(server(instance, 0));
        CHECK_FALSE(isKnownEnded(server(instance, 0)));
    }
}

// Guards against missing a crash right after a reset connection because of the earlier check.
TEST(CrashDetector, EarlierCheckDoesNotHideALaterCrash)
{
    CHECK(check(server()) == ServerState::Running);
    m_loop.advance(1ms);
    m_client.isUp = false;
    CHECK(check(server()) == ServerState::EndDetected);
}

// Guards against crashes that count as one because the server restarts under its id.
TEST(CrashDetector, RestartedServerIsAnotherRun)
{
    const TimePoint sentAt = m_loop.now();
    m_client.isUp = false;
    CHECK(check(server("i-1", 1000), sentAt) == ServerState::EndDetected);
    CHECK(check(server("i-1", 2000)) == ServerState::EndDetected);
    CHECK(runOf(server("i-1", 1000), sentAt) != runOf(server("i-1", 2000), m_loop.now()));
    CHECK(check(server("i-1", 1000), sentAt) == ServerState::Ended);
}

// Guards against crashes that count as one because the server is not announced in between, reports
// no start time, or reports the same one.
TEST(CrashDetector, RequestSentAfterTheEndBelongsToTheNextRun)
{
    for (const std::uint64_t start : { 0, 1000 }) {
        const TimePoint sentAt = m_loop.now();
        m_client.isUp = false;
        CHECK(check(server("i-1", start), sentAt) == ServerState::EndDetected);
        m_loop.advance(2s);
        CHECK_FALSE(isKnownEnded(server("i-1", start)));
        CHECK(check(server("i-1", start)) == ServerState::EndDetected);
        CHECK(runOf(server("i-1", start), sentAt) != runOf(server("i-1", start), m_loop.now()));
        CHECK(check(server("i-1", start), sentAt) == ServerState::Ended);
    }
}
