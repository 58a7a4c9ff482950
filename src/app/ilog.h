#pragma once

#include <string>
#include <utility>

namespace ivyspar {

enum class LogLevel {
    Trace,
    Debug,
    Info,
    Warn,
    Error,
    Off,
};

/// The daemon's log for people. Safe to use from all threads.
class ILog
{
public:
    virtual ~ILog() = default;

    /// Never waits for the reader of the lines: drops and counts what does not fit.
    virtual void write(LogLevel level, std::string text) = 0;

    void debug(std::string text) { write(LogLevel::Debug, std::move(text)); }
    void info(std::string text) { write(LogLevel::Info, std::move(text)); }
    void warn(std::string text) { write(LogLevel::Warn, std::move(text)); }
    void error(std::string text) { write(LogLevel::Error, std::move(text)); }
};

} // namespace ivyspar
