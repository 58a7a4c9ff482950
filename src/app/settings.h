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

/// The bound on repeated sends that all daemons share, for each service.
struct RetryBudget
{
    /// Repeats allowed for each request.
    double ratio = 0.1;
    /// Repeats allowed besides, over all daemons.
    double slack = 0;
    /// Time over which repeats are counted.
    Duration window = std::chrono::seconds(10);
};

/// Where the platform keeps what daemons share, in keyed streams. Empty names: nowhere.
struct SharedStreams
{
    StreamName configuration;
    /// Key of the newest configuration in its stream.
    std::string configurationKey;
    /// Where daemons enter themselves to be found by others.
    StreamName members;
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
    /// Requests are taken however far the daemon is behind.
    bool lag = false;
    /// Rules of one priority get equal shares, whatever their requests cost.
    bool fairShares = false;
    /// Requests are begun however few of their trees can end whole.
    bool lossBasedAdmission = false;
    /// What a server turned away is not sent to it once more from its host.
    bool localRetries = false;
    /// Control messages go over links, however short.
    bool datagrams = false;
    /// Every daemon follows the platform's streams.
    bool readers = false;
    /// Requests that crash servers are sent to others.
    bool quarantine = false;
    /// Each daemon counts an equal part of the limits of client accounts.
    bool limitHomes = false;
};

/// Switches off the policies of a comma-separated list. Returns the names that are none.
std::vector<std::string> disablePolicies(const std::string &policies, Ablations &ablations);

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

    /// A listener for health checks alone; none while its port is 0.
    Endpoint readinessListen;
    /// Besides `/healthz`; empty for none.
    std::string readinessPath;
    /// The service whose server runs on this host, if that is known before its first report.
    ServiceName hostService;
    /// Calls of the server on this host arrive at `callerListen`, among those of callers, and name
    /// no context.
    bool infersParents = false;
    /// Callers' requests are let in by what their whole call tree costs.
    bool hasRootAdmission = false;
    /// The slots that upstreams report are exact: no lower limit is tried.
    bool hasExactSlots = false;

    std::vector<Endpoint> seeds;
    SharedStreams streams;
    std::vector<Endpoint> logEndpoints;
    /// For how long the log keeps a record.
    Duration logRetention = std::chrono::hours(1);

    /// Files to start from when neither the log nor a peer knows a configuration; both or none.
    std::string inventoryFile;
    std::string rulesFile;
    /// Content of these files, already found to be right; empty when none are set.
    std::optional<ConfigurationText> bootstrap;

    /// An upstream that did not announce itself for this long gets no new work.
    Duration heartbeatTimeout{ 0 };
    /// Longest time for requests in flight to end at a planned stop.
    Duration drainTimeout{ 0 };
    /// After a stop signal: for how long new requests are still taken, while those who watch the
    /// health of this daemon find out that it leaves.
    Duration leaveTime{ 0 };
    std::optional<RetryBudget> retryBudget;
    /// From the acknowledgement of a change of the configuration until it is in force everywhere.
    Duration applyWithin = std::chrono::seconds(2);
    AccountTolerance limitTolerance;
    /// For opening a link to a peer.
    Duration peerConnectTimeout = std::chrono::seconds(1);
    /// A link on which nothing arrived is probed after this time and closed after twice this time.
    Duration peerHeartbeat = std::chrono::seconds(2);
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
