#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "app/ilog.h"
#include "state/idecisionlog.h"
#include "state/imetrics.h"
#include "state/result.h"

namespace ivyspar {

/// As the target of the decision log.
constexpr char STANDARD_OUTPUT[] = "-";

struct LogSettings
{
    /// Named in each line of the decision log.
    DaemonId daemon;
    /// Lines for people below this level are left out. They go to standard error, or, as JSON, to
    /// standard output where the decision log goes there.
    LogLevel level = LogLevel::Info;
    /// A file to append to, `-` for standard output, or empty for none.
    std::string decisionLog;
    /// Lines that may wait to be written before lines are dropped.
    std::size_t queueCapacity = 16 * 1024;
};

/// Both logs of a daemon, behind one queue and one writing thread. Its end writes what waits.
class IDaemonLogs
{
public:
    virtual ~IDaemonLogs() = default;

    virtual ILog &log() = 0;
    virtual IDecisionLog &decisions() = 0;
};

/// Dropped lines are counted in `metrics`, which has to outlive the logs. Fails with `Unavailable`
/// if the file cannot be opened.
RetVal<std::unique_ptr<IDaemonLogs>> openDaemonLogs(const LogSettings &settings, IMetrics &metrics);

} // namespace ivyspar
