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

/// The daemon's message log, for operators. Thread-safe.
class ILog
{
public:
    virtual ~ILog() = default;

    /// Never blocks on the log's output: messages that do not fit into the queue are dropped and
    /// counted.
    virtual void write(LogLevel level, std::string text) = 0;

    void debug(std::string text) { write(LogLevel::Debug, std::move(text)); }
    void info(std::string text) { write(LogLevel::Info, std::move(text)); }
    void warn(std::string text) { write(LogLevel::Warn, std::move(text)); }
    void error(std::string text) { write(LogLevel::Error, std::move(text)); }
};

} // namespace ivyspar
