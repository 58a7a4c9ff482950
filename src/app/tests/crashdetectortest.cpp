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

    static Announcement server(const std::string &instance = "i-1")
    {
        return Announcement{ { ServiceName("catalogo"), 10, 10, false },
                             { "127.0.0.1", 9000 },
                             UpstreamId(instance) };
    }
};

// Guards against treating a broken answer of a running server as its end.
TEST(CrashDetector, ServerThatAcceptsConnectionsIsRunning)
{
    CHECK(m_detector.check(server()) == ServerState::Running);
    CHECK_FALSE(m_detector.isKnownEnded(server()));
}

TEST(CrashDetector, ServerThatRefusesConnectionsHasEnded)
{
    m_client.isUp = false;
    CHECK(m_detector.check(server()) == ServerState::EndDetected);
    CHECK(m_detector.check(server()) == ServerState::Ended);
    CHECK_EQUAL(1, m_client.probed.size());
}

// Guards against treating a run as ended because the previous run has ended.
TEST(CrashDetector, NextRunIsCheckedAgain)
{
    m_client.isUp = false;
    CHECK(m_detector.check(server()) == ServerState::EndDetected);
    m_client.isUp = true;
    CHECK(m_detector.check(server("i-2")) == ServerState::Running);
}

TEST(CrashDetector, AnnouncementClearsEndOfUnnamedRun)
{
    m_client.isUp = false;
    CHECK(m_detector.check(server("")) == ServerState::EndDetected);
    m_detector.onAnnounced(server(""));
    CHECK_FALSE(m_detector.isKnownEnded(server("")));
}

// Guards against missing a crash right after a reset connection because of the earlier check.
TEST(CrashDetector, EarlierCheckDoesNotHideALaterCrash)
{
    CHECK(m_detector.check(server()) == ServerState::Running);
    m_loop.advance(1ms);
    m_client.isUp = false;
    CHECK(m_detector.check(server()) == ServerState::EndDetected);
}
