#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

#include <log4cplus/appender.h>

#include "app/daemonlogs.h"
#include "app/internal/logs/logbudget.h"
#include "app/internal/logs/logline.h"

namespace ivyspar {

struct LogLine
{
    LogLevel level = LogLevel::Info;
    std::string text;
};

/// A queued line.
struct LogEntry
{
    std::chrono::system_clock::time_point time;
    std::variant<LogLine, Decision, SuppressedCounts> content;
};

/// The logs of a daemon behind a bounded queue with a writer thread of its own. The asynchronous
/// appender of log4cplus blocks the caller when its queue is full, so a stalled reader of the log
/// would stop the traffic. This class drops and counts lines instead. The mutex is held only to
/// count and move a line or to swap two vectors, never during output.
class AsyncLogs : public IDaemonLogs, private ILog, private IDecisionLog
{
public:
    /// `decisionAppender` may be null: the decision log is then disabled.
    AsyncLogs(const LogSettings &settings, log4cplus::SharedAppenderPtr logAppender,
              log4cplus::SharedAppenderPtr decisionAppender, IMetrics &metrics);
    ~AsyncLogs() override;

    AsyncLogs(const AsyncLogs &) = delete;
    AsyncLogs &operator=(const AsyncLogs &) = delete;

    ILog &log() override { return *this; }
    IDecisionLog &decisions() override { return *this; }

private:
    void write(LogLevel level, std::string text) override;
    bool isEnabled() const override;
    bool wouldDrop(DecisionKind kind, Importance importance, RootId root) override;
    void write(Decision decision) override;

    void push(LogEntry entry);
    /// Call with the mutex held. Returns true if the queue was empty, so the writer must be woken.
    bool enqueue(LogEntry entry);
    void wakeWriter(bool isFirst);
    void runWriter();
    std::vector<LogEntry> takeBatch();
    void append(const LogEntry &entry);
    void append(const LogEntry &entry, const LogLine &line);
    void append(const LogEntry &entry, const Decision &decision);
    void append(const LogEntry &entry, const SuppressedCounts &suppressed);
    LineOrigin originOf(const LogEntry &entry) const { return { m_daemon, entry.time }; }

    const DaemonId m_daemon;
    const LogLevel m_level;
    /// Messages are written as JSON as well.
    const bool m_isAllJson;
    const std::size_t m_capacity;
    const log4cplus::SharedAppenderPtr m_logAppender;
    const log4cplus::SharedAppenderPtr m_decisionAppender;
    IMetrics &m_metrics;

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::vector<LogEntry> m_queue;
    LogBudget m_budget;
    bool m_isStopping = false;
    std::thread m_writer;
};

} // namespace ivyspar
