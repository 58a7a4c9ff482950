#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "state/configuration.h"
#include "state/ids.h"

namespace ivyspar {

struct ConfigurationEvents
{
    /// A new version is in force. Never goes back.
    std::function<void(ConfigurationPtr)> onConfiguration;
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
    bool isJudging = false;
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
