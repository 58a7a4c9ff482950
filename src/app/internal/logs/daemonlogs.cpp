#include "app/daemonlogs.h"

#include <cerrno>
#include <cstring>
#include <fstream>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>

#include "app/internal/logs/asynclogs.h"

namespace ivyspar {

namespace {

const char LOG_PATTERN[] = "%d{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %m%n";
const char DECISION_PATTERN[] = "%m%n";

log4cplus::SharedAppenderPtr withLayout(log4cplus::SharedAppenderPtr appender, const char *pattern)
{
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    return appender;
}

/// Standard output is not flushed per line: the writer flushes it once per batch.
log4cplus::SharedAppenderPtr makeConsole(bool isStandardError, const char *pattern)
{
    return withLayout(log4cplus::SharedAppenderPtr(
                          new log4cplus::ConsoleAppender(isStandardError, isStandardError)),
                      pattern);
}

/// Needed because log4cplus only prints a message and continues if it cannot open a file.
Ret checkWritable(const std::string &path)
{
    const std::ofstream stream(path, std::ios::app);
    if (!stream) {
        return makeError(ErrorCode::Unavailable, path + ": " + std::strerror(errno));
    }
    return {};
}

RetVal<log4cplus::SharedAppenderPtr> openDecisionLog(const std::string &target)
{
    if (target.empty()) {
        return log4cplus::SharedAppenderPtr();
    }
    if (target == STANDARD_OUTPUT) {
        return makeConsole(false, DECISION_PATTERN);
    }
    if (const Ret writable = checkWritable(target); !writable) {
        return tl::unexpected(writable.error());
    }
    return withLayout(
        log4cplus::SharedAppenderPtr(new log4cplus::FileAppender(target, std::ios::app, true)),
        DECISION_PATTERN);
}

void initialize()
{
    static const log4cplus::Initializer INITIALIZER;
    // log4cplus starts four threads for appenders with its own queue, which are not used here.
    log4cplus::setThreadPoolSize(0);
}

} // namespace

RetVal<std::unique_ptr<IDaemonLogs>> openDaemonLogs(const LogSettings &settings, IMetrics &metrics)
{
    initialize();
    const auto decisions = openDecisionLog(settings.decisionLog);
    if (!decisions) {
        return tl::unexpected(decisions.error());
    }
    return std::make_unique<AsyncLogs>(settings, makeConsole(true, LOG_PATTERN), *decisions,
                                       metrics);
}

} // namespace ivyspar
