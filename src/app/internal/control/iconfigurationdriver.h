#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "state/configuration.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// How a version came into force.
struct ConfigurationOrigin
{
    /// `log`, or the daemon that sent it.
    std::string source = "log";
    /// Time since this daemon last knew that the log held nothing newer; nothing if it never did.
    std::optional<Duration> unconfirmed;
};

/// The log cannot be read from here any more, or can be again.
struct LogContact
{
    bool isLost = false;
    /// From the start of the read that showed it to its end.
    Duration took{ 0 };
    /// Since the log last answered; nothing if it never did.
    std::optional<Duration> silent;
    std::string error;
};

struct ConfigurationEvents
{
    /// A new version is in force. Never goes back.
    std::function<void(ConfigurationPtr, const ConfigurationOrigin &)> onConfiguration;
    std::function<void(const LogContact &)> onLogContact;
    /// What is in force here was the newest one at that time.
    std::function<void(TimePoint)> onConfirmed;
    /// One line for the log.
    std::function<void(std::string)> onNotice;
};

/// For operators.
struct ConfigurationStatus
{
    /// In force here; 0 for none.
    ConfigurationVersion inForce;
    /// Accepted and passed on, also if this program cannot read it; 0 for none.
    ConfigurationVersion accepted;
    std::string changeId;
    /// Why the accepted version is not in force; empty if it is.
    std::string unreadable;
    /// What the log's records say can be judged.
    bool hasLogState = false;
    bool isFastPoller = false;
    LogOffset nextOffset;
    /// A daemon that starts can judge the stream if the log still has the records from here on.
    LogOffset anchor;
    /// Why the log cannot be read now; empty if it can.
    std::string logError;
    std::uint64_t snapshotsAppended = 0;
};

/// Keeps the configuration of a daemon up to date. Control thread only.
class IConfigurationDriver
{
public:
    virtual ~IConfigurationDriver() = default;

    virtual void start() = 0;
    /// Suspends until nothing of it runs any more; before destruction, once started.
    virtual void stop() = 0;
    /// A control payload from another daemon. False if it is not for the configuration.
    virtual bool receive(const DaemonId &from, const std::string &payload) = 0;
    virtual ConfigurationStatus status() const = 0;
};

} // namespace ivyspar
