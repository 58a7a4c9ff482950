#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "app/ilog.h"
#include "coordination/accounts/iaccountlimits.h"
#include "protocol/iconfigurationreader.h"
#include "state/endpoint.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Limits of what a daemon accepts from outside, all at least 1.
struct DaemonLimits
{
    /// Caller connections; those of upstreams and operators have fixed limits of their own.
    std::size_t connections = 0;
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    /// Unanswered requests of one caller connection that are handled at a time.
    std::size_t pipelinedRequests = 1;
    /// Requests of callers in flight at a time.
    std::size_t inFlight = 0;
    /// Memory that the process may use. Half of it is for requests and responses.
    std::size_t memoryBytes = 0;
};

/// Limit of retries per service, shared by all daemons.
struct RetryBudget
{
    /// Retries allowed per request.
    double ratio = 0.1;
    /// Additional retries allowed within the window, over all daemons.
    double slack = 0;
    /// Time over which retries are counted.
    Duration window = std::chrono::seconds(10);
};

/// Keyed streams of the platform in which daemons share state. Empty names: not used.
struct SharedStreams
{
    StreamName configuration;
    /// Key of the newest configuration in its stream.
    std::string configurationKey;
    /// Directory in which daemons register to be discovered by others.
    StreamName members;
    /// Records of requests that crash servers.
    StreamName suspects;
};

/// Policies that are disabled to measure their effect. Not for production.
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
    /// Requests are admitted regardless of the event loop's lag.
    bool lag = false;
    /// Rules of one priority get equal shares, regardless of the cost of their requests.
    bool fairShares = false;
    /// Accounts of one priority compete by arrivals.
    bool accountShares = false;
    /// Requests are admitted regardless of how few of their call trees can complete.
    bool lossBasedAdmission = false;
    /// A call that a server refused is not retried at that server by the daemon of its host.
    bool localRetries = false;
    /// Control messages go over links, never as datagrams.
    bool datagrams = false;
    /// Every daemon follows the platform's streams.
    bool readers = false;
    /// Requests that crash servers are still sent to other servers.
    bool quarantine = false;
    /// Each daemon enforces an equal part of each client account's limits.
    bool limitHomes = false;
};

/// Disables the policies of a comma-separated list. Returns the unknown names.
std::vector<std::string> disablePolicies(const std::string &policies, Ablations &ablations);

/// Settings of one daemon. With port 0 in a listening endpoint, a free port is used.
struct DaemonSettings
{
    DaemonId id;
    DomainName domain;
    /// If empty, the inventory's region applies.
    RegionName region;

    Endpoint callerListen;
    /// /healthz, /status and /metrics.
    Endpoint operatorListen;
    /// Announcements, and calls that the upstream of this host makes.
    Endpoint upstreamListen;
    Endpoint peerListen;
    /// Where other daemons reach this one; port 0 means the port that `peerListen` got.
    Endpoint peerAdvertise;

    /// A listener for health checks only; disabled if its port is 0.
    Endpoint readinessListen;
    /// Health check path in addition to `/healthz`; empty for none.
    std::string readinessPath;
    /// The service whose server runs on this host, if that is known before its first report.
    ServiceName hostService;
    /// Calls of the server on this host arrive at `callerListen` like those of callers and carry no
    /// context, so the parent request is inferred.
    bool infersParents = false;
    /// Requests of callers are admitted by the cost of their whole call tree.
    bool hasRootAdmission = false;
    /// The slots that upstreams report are exact: the limit is not adapted below them.
    bool hasExactSlots = false;
    /// Calls are divided between failure domains by their demand and capacity.
    bool balancesDomains = false;

    std::vector<Endpoint> seeds;
    SharedStreams streams;
    std::vector<Endpoint> logEndpoints;
    /// Retention time of records in the log.
    Duration logRetention = std::chrono::hours(1);

    /// Bootstrap files, used if neither the log nor a peer has a configuration; both or none.
    std::string inventoryFile;
    std::string rulesFile;
    /// Content of these files, already validated; empty if none are set.
    std::optional<ConfigurationText> bootstrap;

    /// An upstream that sent no announcement for this long gets no new calls.
    Duration heartbeatTimeout{ 0 };
    /// Maximum time for requests in flight to complete at a planned stop.
    Duration drainTimeout{ 0 };
    /// After a stop signal, new requests are still accepted for this long, so that health checks
    /// can take the daemon out of rotation first.
    Duration leaveTime{ 0 };
    std::optional<RetryBudget> retryBudget;
    /// Maximum time from the acknowledgement of a configuration change until it is in force on all
    /// daemons.
    Duration applyWithin = std::chrono::seconds(2);
    AccountTolerance limitTolerance;
    /// Time-out for opening a link to a peer.
    Duration peerConnectTimeout = std::chrono::seconds(1);
    /// A silent link is probed after this time and closed after twice this time.
    Duration peerHeartbeat = std::chrono::seconds(2);
    DaemonLimits limits;
    Ablations ablations;

    LogLevel logLevel = LogLevel::Info;
    /// A file, `-` for standard output, or empty for none.
    std::string decisionLog;
    /// File to which the daemon's listening endpoints are written as JSON; empty for none.
    std::string readyFile;
};

/// The value of an environment variable, if it is set.
using EnvironmentLookup = std::function<std::optional<std::string>(const std::string &name)>;

std::optional<std::string> processEnvironment(const std::string &name);

/// Settings together with the errors found in them.
template <typename T> struct SettingsResult
{
    T settings;
    /// `--help` was given; the other fields are not meaningful.
    bool isHelpWanted = false;
    /// One line per error; the settings are usable only if it is empty.
    std::vector<std::string> errors;
};

/// Reads the flags and, for each flag that is not given, its `IVYSPAR_*` environment variable.
/// Reads the bootstrap files, but opens no port.
SettingsResult<DaemonSettings> readDaemonSettings(const std::vector<std::string> &arguments,
                                                  const EnvironmentLookup &environment);

} // namespace ivyspar
