#include "standins/log/logserver.h"
#include "standins/log/inprocesshttpclient.h"
#include "transport/logservicefactory.h"
#include "transport/transportfactory.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace ivyspar::lab;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The log client against the stand-in's front, without sockets.
TEST_GROUP(LogServer)
{
    std::unique_ptr<IEventLoop> m_loop = makeEventLoop();
    LogCore m_core{ LogLimits() };
    LogServer m_server{ *m_loop, m_core };
    InProcessHttpClient m_client{ *m_loop, [this](IHttpExchange &exchange) {
                                     return m_server.handle(exchange);
                                 } };
    LogServiceSettings m_settings{ { { "127.0.0.1", 1 } }, "host", milliseconds(20) };
    std::unique_ptr<ILogService> m_log = makeHttpLogService(m_settings, m_client);
    StreamName m_stream{ "s" };

    void run(std::function<void()> test)
    {
        m_loop->spawn([this, test = std::move(test)] {
            test();
            m_loop->stop();
        });
        m_loop->run();
    }
    HttpResponse ask(const std::string &method, const std::string &target,
                     const std::string &body = "")
    {
        return m_client.exchange({}, { method, target, {}, body }, seconds(5), nullptr).value();
    }
};

TEST(LogServer, RecordsComeBackWhole)
{
    run([this] {
        const std::string bytes("\x00\xff bytes", 8);
        CHECK(m_log->append(m_stream, bytes).value() == LogOffset(0));
        const LogPage page = m_log->read(m_stream, LogOffset(0), 10, Duration::zero()).value();
        CHECK(page.records.at(0).payload == bytes);
        CHECK(page.end == LogOffset(1));
    });
}

TEST(LogServer, AReadIsHeldBackUntilAnAppend)
{
    run([this] {
        bool isAppended = false;
        m_loop->callLater(milliseconds(5), [&] {
            m_loop->spawn([&] {
                isAppended = true;
                m_log->append(m_stream, "late");
            });
        });
        const LogPage page = m_log->read(m_stream, LogOffset(0), 10, seconds(30)).value();
        CHECK(isAppended);
        CHECK_EQUAL(1, page.records.size());
    });
}

// An append whose answer is lost looks the same to the client whether it took effect or not.
TEST(LogServer, LostAnswersAreUnknownToTheClient)
{
    run([this] {
        CHECK_EQUAL(200, ask("POST", "/faults", R"({"lost_after":1})").status);
        CHECK(m_log->append(m_stream, "a").error().code == ErrorCode::Unknown);
        CHECK_EQUAL(200, ask("POST", "/faults", R"({"lost_before":1})").status);
        CHECK(m_log->append(m_stream, "b").error().code == ErrorCode::Unknown);
        const LogPage page = m_log->read(m_stream, LogOffset(0), 10, Duration::zero()).value();
        CHECK_EQUAL(1, page.records.size());
        STRCMP_EQUAL("a", page.records[0].payload.c_str());
    });
}

TEST(LogServer, ADelayedAppendTakesEffectAfterTheClientGaveUp)
{
    run([this] {
        CHECK_EQUAL(200, ask("POST", "/faults", R"({"effect_delay_ms":40})").status);
        CHECK(m_log->append(m_stream, "a").error().code == ErrorCode::Unknown);
        CHECK(m_log->read(m_stream, LogOffset(0), 10, Duration::zero())->records.empty());
        CHECK_EQUAL(1, m_log->read(m_stream, LogOffset(0), 10, seconds(30))->records.size());
    });
}

TEST(LogServer, OutagesAndLimitsCarryTheirProof)
{
    run([this] {
        m_core.faults().isDown = true;
        CHECK(m_log->append(m_stream, "a").error().code == ErrorCode::Unavailable);
        CHECK_FALSE(m_log->read(m_stream, LogOffset(0), 10, Duration::zero()).has_value());
        m_core.faults() = {};
        m_core.limits().appendsPerSecond = 0;
        CHECK(m_log->append(m_stream, "a").error().code == ErrorCode::Throttled);
        m_core.faults().cutClients = { "host" };
        CHECK(m_log->append(m_stream, "a").error().code == ErrorCode::Unknown);
    });
}

TEST(LogServer, BadRequestsAreRefused)
{
    run([this] {
        CHECK_EQUAL(404, ask("GET", "/").status);
        CHECK_EQUAL(404, ask("GET", "/streams//records").status);
        CHECK_EQUAL(404, ask("POST", "/streams/a%2Fb/records").status);
        CHECK_EQUAL(400, ask("GET", "/streams/a/records?from=x").status);
        CHECK_EQUAL(400, ask("GET", "/streams/a/records?max=0").status);
        CHECK_EQUAL(400, ask("POST", "/faults", "{").status);
        CHECK_EQUAL(200, ask("GET", "/stats").status);
    });
}
