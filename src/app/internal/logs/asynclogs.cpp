#include "app/internal/logs/asynclogs.h"

#include <pthread.h>

#include <csignal>
#include <iostream>

#include <log4cplus/spi/loggingevent.h>

namespace ivyspar {

namespace {

// The writer collects lines for this long, so that one wake-up serves all of them.
constexpr std::chrono::milliseconds BATCH_TIME(20);

log4cplus::LogLevel toLog4cplus(LogLevel level)
{
    switch (level) {
    case LogLevel::Trace:
        return log4cplus::TRACE_LOG_LEVEL;
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    case LogLevel::Off:
        return log4cplus::OFF_LOG_LEVEL;
    }
    return log4cplus::OFF_LOG_LEVEL;
}

log4cplus::spi::InternalLoggingEvent makeEvent(LogLevel level, const std::string &text,
                                               std::chrono::system_clock::time_point time)
{
    return { "ivyspar", toLog4cplus(level),
             "",        {},
             text,      "",
             "",        std::chrono::time_point_cast<log4cplus::helpers::Time::duration>(time),
             "",        0 };
}

TimePoint steadyNow()
{
    return TimePoint(
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Blocks all signals for threads that are started meanwhile. A signal handled by the writer thread
/// would interrupt a write; the daemon's main thread handles signals.
class SignalBlock
{
public:
    SignalBlock()
    {
        sigset_t all;
        sigfillset(&all);
        pthread_sigmask(SIG_SETMASK, &all, &m_previous);
    }
    ~SignalBlock() { pthread_sigmask(SIG_SETMASK, &m_previous, nullptr); }

    SignalBlock(const SignalBlock &) = delete;
    SignalBlock &operator=(const SignalBlock &) = delete;

private:
    sigset_t m_previous{};
};

} // namespace

AsyncLogs::AsyncLogs(const LogSettings &settings, log4cplus::SharedAppenderPtr logAppender,
                     log4cplus::SharedAppenderPtr decisionAppender, IMetrics &metrics)
    : m_daemon(settings.daemon)
    , m_level(settings.level)
    , m_isAllJson(settings.decisionLog == STANDARD_OUTPUT)
    , m_capacity(settings.queueCapacity)
    , m_logAppender(std::move(logAppender))
    , m_decisionAppender(std::move(decisionAppender))
    , m_metrics(metrics)
    , m_budget(LogBudgetOptions())
{
    const SignalBlock block;
    m_writer = std::thread([this] { runWriter(); });
}

AsyncLogs::~AsyncLogs()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_one();
    m_writer.join();
}

void AsyncLogs::write(LogLevel level, std::string text)
{
    if (level < m_level || m_level == LogLevel::Off) {
        return;
    }
    push({ std::chrono::system_clock::now(), LogLine{ level, std::move(text) } });
}

bool AsyncLogs::isEnabled() const
{
    return m_decisionAppender.get() != nullptr;
}

bool AsyncLogs::wouldDrop(DecisionKind kind, Importance importance, RootId root)
{
    if (!isEnabled()) {
        return true;
    }
    const TimePoint now = steadyNow();
    const std::lock_guard lock(m_mutex);
    return m_budget.wouldDrop(now, kind, importance, root);
}

void AsyncLogs::write(Decision decision)
{
    if (!isEnabled()) {
        return;
    }
    const TimePoint now = steadyNow();
    const auto time = std::chrono::system_clock::now();
    bool isFirst = false;
    {
        const std::lock_guard lock(m_mutex);
        SuppressedCounts suppressed = m_budget.takeSuppressed(now);
        if (!suppressed.empty()) {
            isFirst = enqueue({ time, std::move(suppressed) });
        }
        if (m_budget.take(now, decision)) {
            isFirst = enqueue({ time, std::move(decision) }) || isFirst;
        }
    }
    wakeWriter(isFirst);
}

void AsyncLogs::push(LogEntry entry)
{
    bool isFirst = false;
    {
        const std::lock_guard lock(m_mutex);
        isFirst = enqueue(std::move(entry));
    }
    wakeWriter(isFirst);
}

bool AsyncLogs::enqueue(LogEntry entry)
{
    if (m_queue.size() >= m_capacity) {
        m_metrics.add(Counter::LogLinesDropped);
        return false;
    }
    m_queue.push_back(std::move(entry));
    return m_queue.size() == 1;
}

void AsyncLogs::wakeWriter(bool isFirst)
{
    if (isFirst) {
        m_wakeUp.notify_one();
    }
}

void AsyncLogs::runWriter()
{
    for (auto batch = takeBatch(); !batch.empty(); batch = takeBatch()) {
        for (const LogEntry &entry : batch) {
            append(entry);
        }
        // One write for all lines of a batch.
        std::cout.flush();
    }
}

/// Empty only if the logs are stopping and the queue is empty.
std::vector<LogEntry> AsyncLogs::takeBatch()
{
    std::unique_lock lock(m_mutex);
    m_wakeUp.wait(lock, [this] { return m_isStopping || !m_queue.empty(); });
    m_wakeUp.wait_for(lock, BATCH_TIME, [this] { return m_isStopping; });
    return std::exchange(m_queue, {});
}

void AsyncLogs::append(const LogEntry &entry)
{
    std::visit([&](const auto &content) { append(entry, content); }, entry.content);
}

void AsyncLogs::append(const LogEntry &entry, const LogLine &line)
{
    if (m_isAllJson) {
        const std::string text = toLine(originOf(entry), line.level, line.text);
        m_decisionAppender->doAppend(makeEvent(line.level, text, entry.time));
        return;
    }
    m_logAppender->doAppend(makeEvent(line.level, line.text, entry.time));
}

void AsyncLogs::append(const LogEntry &entry, const Decision &decision)
{
    const std::string text = toLine(originOf(entry), decision);
    m_decisionAppender->doAppend(makeEvent(LogLevel::Info, text, entry.time));
}

void AsyncLogs::append(const LogEntry &entry, const SuppressedCounts &suppressed)
{
    const std::string text = toLine(originOf(entry), suppressed);
    m_decisionAppender->doAppend(makeEvent(LogLevel::Info, text, entry.time));
}

} // namespace ivyspar
