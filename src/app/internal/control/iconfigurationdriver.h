#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "state/configuration.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Where a version in force came from.
struct ConfigurationOrigin
{
    /// `log`, `files` for the bootstrap configuration, or the id of the daemon that sent it.
    std::string source = "log";
    /// Age of the last confirmation that the log held nothing newer; nothing if there was none.
    std::optional<Duration> unconfirmed;
};

/// This daemon lost or regained read access to the log.
struct LogContact
{
    bool isLost = false;
    /// Duration of the read that showed it.
    Duration took{ 0 };
    /// Time since the last successful read; nothing if there was none.
    std::optional<Duration> silent;
    /// Error of the read; empty if access was regained.
    std::string error;
};

struct ConfigurationEvents
{
    /// A new version is in force; versions never decrease.
    std::function<void(ConfigurationPtr, const ConfigurationOrigin &)> onConfiguration;
    std::function<void(const LogContact &)> onLogContact;
    /// The configuration in force was confirmed as the newest one as of that time.
    std::function<void(TimePoint)> onConfirmed;
    /// One line for the daemon's log.
    std::function<void(std::string)> onNotice;
};

/// State of the configuration, for `/status`.
struct ConfigurationStatus
{
    /// Version in force here; 0 for none.
    ConfigurationVersion inForce;
    /// Newest accepted version, offered to peers even if this program cannot read it; 0 for none.
    ConfigurationVersion accepted;
    std::string changeId;
    /// Why the accepted version is not in force; empty if it is.
    std::string unreadable;
    /// The state of the log is known, so that its records can be applied.
    bool hasLogState = false;
    bool isFastPoller = false;
    LogOffset nextOffset;
    /// A starting daemon can determine the current version if the log still has the records from
    /// this offset on.
    LogOffset anchor;
    /// Error of the last read of the log; empty if it succeeded.
    std::string logError;
    std::uint64_t snapshotsAppended = 0;
};

/// Keeps the configuration of a daemon up to date. Control thread only.
class IConfigurationDriver
{
public:
    virtual ~IConfigurationDriver() = default;

    virtual void start() = 0;
    /// Suspends until the driver's fibers have ended. Required before destruction once started.
    virtual void stop() = 0;
    /// Handles a control payload of another daemon. Returns false if it is no configuration
    /// message.
    virtual bool receive(const DaemonId &from, const std::string &payload) = 0;
    virtual ConfigurationStatus status() const = 0;
};

} // namespace ivyspar
