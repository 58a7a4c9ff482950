#pragma once

#include <memory>

#include "state/ids.h"

namespace ivyspar {

/// Writes a line of JSON to standard error when a signal of a fault ends the process: the signal
/// and the return addresses relative to the program's start, as `addr2line` takes them. To be
/// called before threads are started.
void installCrashReport(const DaemonId &daemon);

/// Lets the calling thread report a fault although its stack has overflowed. Lives as long as the
/// thread's work.
class CrashReportStack
{
public:
    CrashReportStack();
    ~CrashReportStack();
    CrashReportStack(const CrashReportStack &) = delete;
    CrashReportStack &operator=(const CrashReportStack &) = delete;

private:
    std::unique_ptr<char[]> m_bytes;
};

} // namespace ivyspar
