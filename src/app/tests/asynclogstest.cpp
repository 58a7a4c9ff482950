#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

#include <log4cplus/appender.h>
#include <log4cplus/spi/loggingevent.h>

#include "app/internal/logs/asynclogs.h"
#include "app/internal/logs/logline.h"
#include "state/metricsfactory.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

/// Records the lines; each append blocks until the appender is open.
class StallingAppender : public log4cplus::Appender
{
public:
    ~StallingAppender() override { destructorImpl(); }

    void close() override { }
    void open()
    {
        const std::lock_guard lock(m_mutex);
        m_isOpen = true;
        m_change.notify_all();
    }
    /// Waits until the writer is blocked in an append.
    void waitForStall()
    {
        std::unique_lock lock(m_mutex);
        m_change.wait(lock, [this] { return m_isStalled; });
    }
    const std::vector<std::string> &lines() const { return m_lines; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        std::unique_lock lock(m_mutex);
        m_isStalled = true;
        m_change.notify_all();
        m_change.wait(lock, [this] { return m_isOpen; });
        m_lines.push_back(event.getMessage());
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_change;
    bool m_isOpen = false;
    bool m_isStalled = false;
    std::vector<std::string> m_lines;
};

Decision makeDecision(std::uint64_t root)
{
    Decision decision;
    decision.root = RootId(root);
    return decision;
}

} // namespace

TEST_GROUP(AsyncLogs)
{
    std::unique_ptr<IMetrics> metrics = makeMetrics();
    StallingAppender *lines = new StallingAppender;
    log4cplus::SharedAppenderPtr appender{ lines };

    std::unique_ptr<IDaemonLogs> open(std::size_t capacity, LogLevel level = LogLevel::Info)
    {
        LogSettings settings;
        settings.queueCapacity = capacity;
        settings.level = level;
        return std::make_unique<AsyncLogs>(settings, appender, appender, *metrics);
    }
};

TEST(AsyncLogs, DestructorWritesQueuedLines)
{
    lines->open();
    auto logs = open(100);
    for (std::uint64_t i = 1; i <= 50; ++i) {
        logs->decisions().write(makeDecision(i));
    }
    logs.reset();
    CHECK_EQUAL(50U, lines->lines().size());
    STRCMP_CONTAINS(R"("event":"route","request":"0000000000000032"})",
                    lines->lines().back().c_str());
}

// If the log's output stalls, as with a full pipe, threads that log must not block: lines that do
// not fit are counted, and the queued ones are written in order once the output continues.
TEST(AsyncLogs, StalledReaderDoesNotBlockWriters)
{
    auto logs = open(10);
    logs->decisions().write(makeDecision(1));
    lines->waitForStall();
    for (std::uint64_t i = 2; i <= 21; ++i) {
        logs->decisions().write(makeDecision(i));
    }
    STRCMP_CONTAINS("ivyspar_log_lines_dropped_total 10", metrics->text().c_str());
    lines->open();
    logs.reset();
    CHECK_EQUAL(11U, lines->lines().size());
    STRCMP_CONTAINS(R"("event":"route","request":"000000000000000b"})",
                    lines->lines().back().c_str());
}

TEST(AsyncLogs, LinesBelowLevelAreDropped)
{
    lines->open();
    auto logs = open(10, LogLevel::Warn);
    logs->log().info("no");
    logs->log().warn("yes");
    logs->log().error("yes too");
    logs.reset();
    CHECK_EQUAL(2U, lines->lines().size());
    STRCMP_EQUAL("yes", lines->lines().front().c_str());
}

TEST(AsyncLogs, FileThatCannotBeOpenedIsAnError)
{
    LogSettings settings;
    settings.decisionLog = "/none/decisions.log";
    const auto logs = openDaemonLogs(settings, *metrics);
    CHECK_FALSE(logs.has_value());
    STRCMP_CONTAINS("/none/decisions.log: No such file", logs.error().text.c_str());
}

TEST_GROUP(LogLine)
{
    /// 2026-12-02T20:30:24.662Z.
    LineOrigin m_origin{ DaemonId("cassa-1"),
                         std::chrono::system_clock::time_point(
                             std::chrono::milliseconds(1796243424662)) };
};

TEST(LogLine, HoldsAllFields)
{
    Decision decision;
    decision.kind = DecisionKind::Retry;
    decision.root = RootId(0xab);
    decision.call = RootId(0xcd);
    decision.service = ServiceName("cassa");
    decision.rule = RuleName("pay");
    decision.rank = Rank(77);
    decision.attempt = 2;
    decision.candidates = { { DaemonId("d1"), 0.25 }, { DaemonId("d2"), 12 } };
    decision.choice = "d1";
    decision.outcome = "sent";
    decision.reason = "less-loaded";
    decision.inputs = { { "left_ms", 12.34567 } };
    decision.detail = "text";
    STRCMP_EQUAL(R"({"time":"2026-12-02T20:30:24.662Z","daemon":"cassa-1","event":"retry",)"
                 R"("request":"00000000000000ab","call":"00000000000000cd","service":"cassa",)"
                 R"("rule":"pay","rank":77,"attempt":2,"candidates":{"d1":0.25,"d2":12.0},)"
                 R"("choice":"d1","outcome":"sent","reason":"less-loaded","left_ms":12.346,)"
                 R"("detail":"text"})",
                 toLine(m_origin, decision).c_str());
}

TEST(LogLine, NamesCannotInjectLinesOrFields)
{
    Decision decision;
    decision.kind = DecisionKind::Membership;
    decision.choice = "d1\n{\"event\":\"route\",\"reason\":\"x\"}\xff";
    const std::string line = toLine(m_origin, decision);
    CHECK(line.find('\n') == std::string::npos);
    STRCMP_CONTAINS(R"("event":"membership","choice":"d1\n{\"event\":\"route\")", line.c_str());
}

TEST(LogLine, TooLongLineIsReplacedByItsSize)
{
    Decision decision;
    decision.root = RootId(0xab);
    decision.detail = std::string(2 * MAX_LINE_BYTES, 'x');
    const std::string line = toLine(m_origin, decision);
    CHECK(line.size() <= MAX_LINE_BYTES);
    STRCMP_CONTAINS(R"("request":"00000000000000ab","cut":)", line.c_str());
}

TEST(LogLine, SuppressedLinesAreCountedByEvent)
{
    STRCMP_CONTAINS(R"("event":"suppressed","lines":{"admit":7,"route":12}})",
                    toLine(m_origin, SuppressedCounts{ { "route", 12 }, { "admit", 7 } }).c_str());
}
