#include "app/internal/settings/daemonsettings.h"

#include <algorithm>

#include "app/internal/settings/configurationfiles.h"
#include "app/internal/settings/flags.h"
#include "app/internal/settings/settingvalues.h"

namespace ivyspar {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr std::uint64_t MAX_CONNECTIONS = 100'000;
constexpr std::uint64_t MIN_HEADER_BYTES = 1024;
constexpr std::uint64_t MAX_HEADER_BYTES = 1024 * 1024;
constexpr std::uint64_t MAX_BODY_BYTES = 64 * 1024 * 1024;
constexpr std::uint64_t MAX_PIPELINED_REQUESTS = 100;
constexpr std::uint64_t MAX_IN_FLIGHT = 1'000'000;
constexpr std::uint64_t BYTES_PER_MIB = 1024 * 1024;
constexpr std::uint64_t MIN_MEMORY_MB = 64;
constexpr std::uint64_t MAX_MEMORY_MB = 1024 * 1024;
constexpr Duration MAX_LOG_RETENTION = hours(24 * 365);

struct LogLevelName
{
    const char *name;
    LogLevel level;
};

constexpr LogLevelName LOG_LEVEL_NAMES[] = {
    { "trace", LogLevel::Trace }, { "debug", LogLevel::Debug }, { "info", LogLevel::Info },
    { "warn", LogLevel::Warn },   { "error", LogLevel::Error }, { "off", LogLevel::Off },
};

/// Builds the settings from the flags' current values.
class Reader
{
public:
    explicit Reader(std::vector<std::string> &errors)
        : m_errors(errors)
        , m_values(errors)
    {
    }

    DaemonSettings read()
    {
        readIdentity();
        readEndpoints();
        readRemotes();
        readTimesAndLimits();
        readAblations();
        readOutputs();
        checkRemoteAccess();
        checkSharedPorts();
        checkPeers();
        checkFiles();
        return std::move(m_settings);
    }

private:
    void readIdentity()
    {
        m_settings.id = DaemonId(m_values.name("daemon_id", FLAGS_daemon_id));
        m_settings.domain = DomainName(m_values.name("domain", FLAGS_domain));
        if (!FLAGS_region.empty()) {
            m_settings.region = RegionName(m_values.name("region", FLAGS_region));
        }
    }

    void readEndpoints()
    {
        m_settings.callerListen = m_values.listenEndpoint("caller_listen", FLAGS_caller_listen);
        m_settings.operatorListen =
            m_values.listenEndpoint("operator_listen", FLAGS_operator_listen);
        m_settings.upstreamListen =
            m_values.listenEndpoint("upstream_listen", FLAGS_upstream_listen);
        m_settings.peerListen = m_values.listenEndpoint("peer_listen", FLAGS_peer_listen);
        m_settings.peerAdvertise = FLAGS_peer_advertise.empty()
            ? m_settings.peerListen
            : m_values.listenEndpoint("peer_advertise", FLAGS_peer_advertise);
    }

    void readRemotes()
    {
        m_settings.seeds = m_values.remoteEndpoints("seeds", FLAGS_seeds);
        m_settings.logEndpoints = m_values.remoteEndpoints("log_endpoints", FLAGS_log_endpoints);
        m_settings.logRetention =
            m_values.duration("log_retention", FLAGS_log_retention, minutes(1), MAX_LOG_RETENTION);
        m_settings.inventoryFile = FLAGS_inventory;
        m_settings.rulesFile = FLAGS_rules;
    }

    void readTimesAndLimits()
    {
        m_settings.heartbeatTimeout = m_values.duration(
            "heartbeat_timeout", FLAGS_heartbeat_timeout, milliseconds(100), minutes(1));
        m_settings.drainTimeout =
            m_values.duration("drain_timeout", FLAGS_drain_timeout, Duration::zero(), hours(1));
        m_settings.balancesDomains = FLAGS_balance_domains;
        DaemonLimits &limits = m_settings.limits;
        limits.connections =
            m_values.count("max_connections", FLAGS_max_connections, 1, MAX_CONNECTIONS);
        limits.headerBytes = m_values.count("max_header_bytes", FLAGS_max_header_bytes,
                                            MIN_HEADER_BYTES, MAX_HEADER_BYTES);
        limits.bodyBytes =
            m_values.count("max_body_bytes", FLAGS_max_body_bytes, 1, MAX_BODY_BYTES);
        limits.pipelinedRequests = m_values.count(
            "max_pipelined_requests", FLAGS_max_pipelined_requests, 1, MAX_PIPELINED_REQUESTS);
        limits.inFlight = m_values.count("max_in_flight", FLAGS_max_in_flight, 1, MAX_IN_FLIGHT);
        limits.memoryBytes = BYTES_PER_MIB
            * m_values.count("max_memory_mb", FLAGS_max_memory_mb, MIN_MEMORY_MB, MAX_MEMORY_MB);
    }

    void readAblations()
    {
        for (const std::string &unknown : disablePolicies(FLAGS_ablate, m_settings.ablations)) {
            m_values.addError("ablate", '"' + unknown + "\" is not a policy; --help lists them");
        }
    }

    void readOutputs()
    {
        m_settings.decisionLog = FLAGS_decision_log;
        m_settings.readyFile = FLAGS_ready_file;
        const auto *found =
            std::find_if(std::begin(LOG_LEVEL_NAMES), std::end(LOG_LEVEL_NAMES),
                         [](const LogLevelName &known) { return FLAGS_log_level == known.name; });
        if (found == std::end(LOG_LEVEL_NAMES)) {
            m_values.addError("log_level",
                              '"' + FLAGS_log_level
                                  + "\" is not one of trace, debug, info, warn, error, off");
            return;
        }
        m_settings.logLevel = found->level;
    }

    // Neither interface authenticates its clients: on a non-loopback address, anyone who reaches
    // the port could announce a server or read the state. Loopback limits that to users of this
    // host.
    void checkRemoteAccess()
    {
        checkLoopback("operator_listen", m_settings.operatorListen, "allow_remote_operator",
                      FLAGS_allow_remote_operator);
        checkLoopback("upstream_listen", m_settings.upstreamListen, "allow_remote_upstream",
                      FLAGS_allow_remote_upstream);
    }

    void checkLoopback(const std::string &flag, const Endpoint &endpoint,
                       const std::string &permission, bool isPermitted)
    {
        if (endpoint.address.empty() || isPermitted || isLoopback(endpoint)) {
            return;
        }
        m_values.addError(
            flag, endpoint.text() + " is not a loopback address; --" + permission + " allows it");
    }

    struct Listener
    {
        const char *flag;
        const Endpoint &endpoint;
    };

    void checkSharedPorts()
    {
        const Listener listeners[] = {
            { "caller_listen", m_settings.callerListen },
            { "operator_listen", m_settings.operatorListen },
            { "upstream_listen", m_settings.upstreamListen },
            { "peer_listen", m_settings.peerListen },
        };
        for (const Listener *a = std::begin(listeners); a != std::end(listeners); ++a) {
            for (const Listener *b = a + 1; b != std::end(listeners); ++b) {
                checkSharedPort(*a, *b);
            }
        }
    }

    void checkSharedPort(const Listener &a, const Listener &b)
    {
        const bool isSamePort = a.endpoint.port == b.endpoint.port && a.endpoint.port != 0;
        const bool isSameAddress = a.endpoint.address == b.endpoint.address
            || isWildcard(a.endpoint) || isWildcard(b.endpoint);
        if (isSamePort && isSameAddress) {
            m_values.addError(b.flag, b.endpoint.text() + " is also taken by --" + a.flag);
        }
    }

    void checkPeers()
    {
        if (isWildcard(m_settings.peerAdvertise)) {
            m_values.addError(
                "peer_advertise",
                m_settings.peerAdvertise.text()
                    + " stands for all addresses; name the one that peers connect to");
        }
        for (const Endpoint &seed : m_settings.seeds) {
            const bool isSelf = seed == m_settings.peerAdvertise || seed == m_settings.peerListen;
            if (isSelf && !seed.address.empty()) {
                m_values.addError("seeds", seed.text() + " is this daemon itself");
            }
        }
    }

    void checkFiles()
    {
        if (m_settings.inventoryFile.empty() && m_settings.rulesFile.empty()) {
            return;
        }
        if (m_settings.inventoryFile.empty() || m_settings.rulesFile.empty()) {
            m_values.addError(m_settings.rulesFile.empty() ? "rules" : "inventory",
                              "must be set too: --inventory and --rules go together");
            return;
        }
        ConfigurationFiles files =
            loadConfiguration(m_settings.inventoryFile, m_settings.rulesFile);
        m_errors.insert(m_errors.end(), files.errors.begin(), files.errors.end());
        if (files.configuration) {
            checkDomain(files.configuration->inventory);
            m_settings.bootstrap = std::move(files.text);
        }
    }

    void checkDomain(const Inventory &inventory)
    {
        const auto found = std::find_if(
            inventory.domains.begin(), inventory.domains.end(),
            [this](const DomainSpec &domain) { return domain.name == m_settings.domain; });
        if (found == inventory.domains.end()) {
            m_values.addError("domain",
                              '"' + m_settings.domain.value() + "\" is not a failure domain of "
                                  + m_settings.inventoryFile);
            return;
        }
        const RegionName &region = m_settings.region;
        if (!region.value().empty() && region != found->region) {
            m_values.addError("region",
                              '"' + region.value() + "\" contradicts " + m_settings.inventoryFile
                                  + ", where the domain is in \"" + found->region.value() + '"');
        }
    }

    std::vector<std::string> &m_errors;
    DaemonSettings m_settings;
    SettingValues m_values;
};

} // namespace

const FlagSet &daemonFlags()
{
    static const FlagSet FLAGS({
        "daemon_id",
        "domain",
        "region",
        "caller_listen",
        "operator_listen",
        "allow_remote_operator",
        "upstream_listen",
        "allow_remote_upstream",
        "peer_listen",
        "peer_advertise",
        "seeds",
        "log_endpoints",
        "log_retention",
        "inventory",
        "rules",
        "heartbeat_timeout",
        "drain_timeout",
        "max_connections",
        "max_header_bytes",
        "max_body_bytes",
        "max_pipelined_requests",
        "max_in_flight",
        "max_memory_mb",
        "balance_domains",
        "log_level",
        "decision_log",
        "ready_file",
        "ablate",
    });
    return FLAGS;
}

SettingsResult<DaemonSettings> readDaemonSettings(const std::vector<std::string> &arguments,
                                                  const EnvironmentLookup &environment)
{
    SettingsResult<DaemonSettings> result;
    const ParsedFlags parsed = daemonFlags().parse(arguments, environment);
    result.isHelpWanted = parsed.isHelpWanted;
    result.errors = parsed.errors;
    if (result.isHelpWanted) {
        return result;
    }
    for (const std::string &operand : parsed.operands) {
        result.errors.push_back("unexpected argument \"" + operand + '"');
    }
    result.settings = Reader(result.errors).read();
    return result;
}

} // namespace ivyspar
