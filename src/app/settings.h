#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "app/ilog.h"
#include "protocol/iconfigurationreader.h"
#include "state/endpoint.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Bounds on what a daemon accepts from outside, all at least 1.
struct DaemonLimits
{
    /// Connections of callers; those of upstreams and operators have their own fixed bounds.
    std::size_t connections = 0;
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    /// Requests of callers that the daemon works on at a time.
    std::size_t inFlight = 0;
};

/// Policies that are switched off to measure what they are worth. Not for production.
struct Ablations
{
    bool admission = false;
    bool rank = false;
    bool floor = false;
    bool doomed = false;
    bool budget = false;
    bool retryTokens = false;
    bool routing = false;
    bool hedging = false;
    bool cancel = false;
};

/// Settings of one daemon. Port 0 in a listening endpoint takes a free port.
struct DaemonSettings
{
    DaemonId id;
    DomainName domain;
    /// Empty: as the inventory says.
    RegionName region;

    Endpoint callerListen;
    /// /healthz, /status and /metrics.
    Endpoint operatorListen;
    /// Announcements, and calls that the upstream of this host makes.
    Endpoint upstreamListen;
    Endpoint peerListen;
    /// Where other daemons reach this one; port 0 means the port that `peerListen` got.
    Endpoint peerAdvertise;

    std::vector<Endpoint> seeds;
    std::vector<Endpoint> logEndpoints;

    /// Files to start from when neither the log nor a peer knows a configuration; both or none.
    std::string inventoryFile;
    std::string rulesFile;
    /// Content of these files, already found to be right; empty when none are set.
    std::optional<ConfigurationText> bootstrap;

    /// An upstream that did not announce itself for this long gets no new work.
    Duration heartbeatTimeout{ 0 };
    /// Longest time for requests in flight to end at a planned stop.
    Duration drainTimeout{ 0 };
    DaemonLimits limits;
    Ablations ablations;

    LogLevel logLevel = LogLevel::Info;
    /// A file, `-` for standard output, or empty for none.
    std::string decisionLog;
    /// File that gets the endpoints the daemon listens on, as JSON; empty for none.
    std::string readyFile;
};

/// The value of an environment variable, if it is set.
using EnvironmentLookup = std::function<std::optional<std::string>(const std::string &name)>;

std::optional<std::string> processEnvironment(const std::string &name);

/// Settings, or all that is wrong with them.
template <typename T> struct SettingsResult
{
    T settings;
    /// `--help` was given: the rest is not to be looked at.
    bool isHelpWanted = false;
    /// One line for each error; the settings are usable only when there is none.
    std::vector<std::string> errors;
};

/// Reads the flags and, for each flag that is not given, its `IVYSPAR_*` variable. Reads the
/// bootstrap files, but opens no port.
SettingsResult<DaemonSettings> readDaemonSettings(const std::vector<std::string> &arguments,
                                                  const EnvironmentLookup &environment);

} // namespace ivyspar
