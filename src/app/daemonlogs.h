#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "app/ilog.h"
#include "state/idecisionlog.h"
#include "state/imetrics.h"
#include "state/result.h"

namespace ivyspar {

/// Decision log target that stands for standard output.
constexpr char STANDARD_OUTPUT[] = "-";

struct LogSettings
{
    /// Written to each line of the decision log.
    DaemonId daemon;
    /// Messages below this level are dropped. Messages go to standard error, or, as JSON, to
    /// standard output if the decision log goes there.
    LogLevel level = LogLevel::Info;
    /// A file to append to, `-` for standard output, or empty for none.
    std::string decisionLog;
    /// Queued lines from which on further lines are dropped.
    std::size_t queueCapacity = 16 * 1024;
};

/// The message log and the decision log of a daemon, behind one queue and one writer thread. The
/// destructor writes the queued lines.
class IDaemonLogs
{
public:
    virtual ~IDaemonLogs() = default;

    virtual ILog &log() = 0;
    virtual IDecisionLog &decisions() = 0;
};

/// Dropped lines are counted in `metrics`, which must outlive the logs. Fails with `Unavailable` if
/// the file cannot be opened.
RetVal<std::unique_ptr<IDaemonLogs>> openDaemonLogs(const LogSettings &settings, IMetrics &metrics);

} // namespace ivyspar
