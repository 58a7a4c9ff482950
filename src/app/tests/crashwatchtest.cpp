#include "app/internal/gate/crashwatch.h"

#include "app/tests/mocks/inlineeventloop.h"
#include "state/internal/seededrandom.h"
#include "transport/tests/mocks/mockhttpclient.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

TEST_GROUP(CrashWatch)
{
    InlineEventLoop m_loop;
    MockHttpClient m_client;
    SeededRandom m_random{ 1 };
    CrashWatch m_watch{ m_loop, m_client, m_random };

    static Announcement server(const std::string &instance = "i-1")
    {
        return Announcement{ { ServiceName("catalogo"), 10, 10, false },
                             { "127.0.0.1", 9000 },
                             UpstreamId(instance) };
    }
};

// Guards against a broken answer of a server that works on being taken for its end.
TEST(CrashWatch, AServerThatAcceptsConnectionsHasNotEnded)
{
    CHECK(m_watch.check(server()) == ServerEnd::None);
    CHECK_FALSE(m_watch.isKnownEnded(server()));
}

TEST(CrashWatch, AServerThatRefusesConnectionsHasEnded)
{
    m_client.isUp = false;
    CHECK(m_watch.check(server()) == ServerEnd::FoundOut);
    CHECK(m_watch.check(server()) == ServerEnd::Ended);
    CHECK_EQUAL(1, m_client.probed.size());
}

// Guards against a run that is judged by the end of the run before it.
TEST(CrashWatch, TheNextRunIsAskedAnew)
{
    m_client.isUp = false;
    CHECK(m_watch.check(server()) == ServerEnd::FoundOut);
    m_client.isUp = true;
    CHECK(m_watch.check(server("i-2")) == ServerEnd::None);
}

TEST(CrashWatch, AServerWithoutNameIsBackWhenItAnnouncesItself)
{
    m_client.isUp = false;
    CHECK(m_watch.check(server("")) == ServerEnd::FoundOut);
    m_watch.onAnnounced(server(""));
    CHECK_FALSE(m_watch.isKnownEnded(server("")));
}

// Guards against a crash right after a reset connection that is judged by the earlier answer.
TEST(CrashWatch, AnEarlierConnectionProvesNothing)
{
    CHECK(m_watch.check(server()) == ServerEnd::None);
    m_loop.advance(1ms);
    m_client.isUp = false;
    CHECK(m_watch.check(server()) == ServerEnd::FoundOut);
}
