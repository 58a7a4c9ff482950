#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "state/accounts.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// A service and the capacity of each of its servers.
struct ServiceSpec
{
    ServiceName name;
    /// Path at which a server reports whether it accepts requests; empty if the service has none.
    std::string healthPath;
    /// Requests that one server processes concurrently.
    std::uint32_t slots = 0;
    /// Connections that one server accepts.
    std::uint32_t connections = 0;
};

/// A server that is listed in the operators' inventory. It gets requests only once it announces
/// itself.
struct ServerSpec
{
    std::string name;
    ServiceName service;
    DomainName domain;
};

struct DomainSpec
{
    DomainName name;
    RegionName region;
};

/// The operators' inventory of domains, services and servers.
struct Inventory
{
    std::string deployment;
    std::vector<DomainSpec> domains;
    std::vector<ServiceSpec> services;
    std::vector<ServerSpec> servers;
};

struct ClassSpec
{
    ClassName name;
    Priority priority;
};

/// Every idempotency key is remembered for at least this long, so it is also the longest lifetime
/// that a rule may set.
constexpr Duration MAX_KEY_LIFETIME = std::chrono::minutes(10);

/// Whether a request may be attempted again after an attempt that may have started.
enum class Repetition {
    Never, ///< An attempt that may have started is the last one.
    Once, ///< As `Never`; in addition an idempotency key or a ticket limits all attempts together
          ///< to at most one run.
    Idempotent, ///< May be repeated, and hedged where the rule allows it.
};

/// A service that gets a share of the requests of a rule, in proportion to the weights.
struct SplitPart
{
    ServiceName service;
    std::uint32_t weight = 0;
};

/// Rule for the requests of a service whose method and path match. The longest path prefix wins.
struct RuleSpec
{
    RuleName name;
    ServiceName service;
    /// Requests with this `Host` match by host and `path`, whatever service they name. If empty,
    /// requests name the service themselves.
    std::string host;
    /// Instead of `service`; empty if the rule leads to one service.
    std::vector<SplitPart> split;
    /// Empty matches every method.
    std::string method;
    /// Prefix of the path; empty matches every path.
    std::string path;
    ClassName requestClass;
    /// Priority of `requestClass`, resolved when the rules are read.
    Priority priority;
    /// Time limit of a request whose caller sets no deadline, and the longest that a caller may
    /// set.
    Duration wait{ 0 };
    /// Latency objective: up to it a response has its full value. Zero if the rule sets none.
    Duration targetLatency{ 0 };
    /// Most servers that one request of a caller may run on; 0 if only the attempts are bounded.
    std::uint32_t servers = 0;
    /// Calls in the request's whole call tree, this one included.
    std::uint32_t calls = 1;
    /// Attempts of all calls of the request together. By default 3 × calls.
    AttemptCount attempts;
    /// Attempts that a caller may make at one request, the first included.
    std::uint32_t callerAttempts = 3;
    Repetition repetition = Repetition::Never;
    bool hedge = false;
    /// For how long an idempotency key is remembered.
    Duration keyLifetime{ 0 };
    /// Callers need no client account key.
    bool isAnonymous = false;
};

/// Limits on what callers may send. Zero where operators set none.
struct CallerLimits
{
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    /// Time for a request's header to arrive.
    Duration headerTimeout{ 0 };
    /// Time after which an unused connection is closed.
    Duration idleTimeout{ 0 };
};

struct Rules
{
    std::vector<ClassSpec> classes;
    std::vector<RuleSpec> rules;
    /// If empty, callers need no key.
    std::vector<AccountSpec> accounts;
};

/// Finds the rule with the longest path prefix among those of a host. The time depends only on the
/// path, as a configuration may have thousands of rules.
class HostIndex
{
public:
    HostIndex() = default;
    explicit HostIndex(const Rules &rules);

    /// Index in `Rules::rules`; nothing if no rule matches. `path` has no query.
    std::optional<std::size_t> find(const std::string &host, const std::string &path) const;

private:
    std::unordered_map<std::string, std::size_t> m_rules;
};

/// Combines the priorities of account and rule into one. The account's priority takes precedence,
/// and the rule's decides among accounts of equal priority. Without accounts it is the rule's.
class PriorityOrder
{
public:
    PriorityOrder() = default;
    explicit PriorityOrder(const Rules &rules);

    /// An account without a priority, or no account, counts as `HIGHEST_PRIORITY`.
    Priority of(std::optional<Priority> account, Priority rule) const;

private:
    using Pair = std::pair<Priority, Priority>;

    static Pair pairOf(std::optional<Priority> account, Priority rule);

    std::map<Pair, Priority> m_order;
};

/// One accepted version of inventory and rules. Immutable and reference-counted, so that threads
/// can share it.
struct Configuration : boost::intrusive_ref_counter<Configuration, boost::thread_safe_counter>
{
    ConfigurationVersion version;
    Inventory inventory;
    Rules rules;
    CallerLimits limits;
    /// Finds the rules that have a host.
    HostIndex hosts;
    /// Finds the account that holds a key.
    KeyIndex keys;
    PriorityOrder priorities;
};
using ConfigurationPtr = boost::intrusive_ptr<const Configuration>;

/// The rule for a request, or nullptr if no rule matches. Ignores rules with a host.
const RuleSpec *findRule(const Rules &rules, const ServiceName &service, const std::string &method,
                         const std::string &path);
/// The rule for a request to a host, or nullptr if no rule matches. Case and port of the host are
/// ignored; `path` has no query.
const RuleSpec *findRuleOfHost(const Configuration &configuration, const std::string &host,
                               const std::string &path);
/// The client account that holds the key, or nullptr if none does.
const AccountSpec *findAccount(const Configuration &configuration, const AccountKey &key);
/// The service of that name, or nullptr.
const ServiceSpec *findService(const Inventory &inventory, const ServiceName &service);

} // namespace ivyspar
