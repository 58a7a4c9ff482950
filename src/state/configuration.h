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

/// A service and what each of its servers can take.
struct ServiceSpec
{
    ServiceName name;
    /// Where a server tells whether it takes work; empty if the service has no such path.
    std::string healthPath;
    /// Requests that one server works on at a time.
    std::uint32_t slots = 0;
    /// Connections that one server accepts.
    std::uint32_t connections = 0;
};

/// A server that the asset register knows. It takes work only once it announces itself.
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

/// What the operators' asset register says.
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

/// For how long every idempotency key is remembered at the least, and so the longest lifetime that
/// a rule may ask for.
constexpr Duration MAX_KEY_LIFETIME = std::chrono::minutes(10);

/// How often an attempt that may have started can be followed by another.
enum class Repetition {
    Never, ///< An attempt that may have started is the last one.
    Once, ///< As `Never`, and an idempotency key or a ticket makes it run at most once over all
          ///< attempts.
    Idempotent, ///< May be repeated, and hedged where the rule allows it.
};

/// A part of the requests of a rule goes to this service, in proportion to the weights.
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
    /// Requests with this `Host` match by it and by `path`, whatever service they name. Empty:
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
    /// How long a caller waits when it names no deadline, and the longest deadline it may name.
    Duration wait{ 0 };
    /// Time within which an answer is worth most; zero if the rule does not say.
    Duration targetLatency{ 0 };
    /// Servers that one request of a caller may run on; 0 for no bound but the attempts.
    std::uint32_t servers = 0;
    /// Calls that the whole request makes, this one included.
    std::uint32_t calls = 1;
    /// Attempts for the whole request, over all calls. By default 3 × calls.
    AttemptCount attempts;
    /// Attempts that a caller may make of one request, the first included.
    std::uint32_t callerAttempts = 3;
    Repetition repetition = Repetition::Never;
    bool hedge = false;
    /// For how long an idempotency key is remembered.
    Duration keyLifetime{ 0 };
    /// Callers need no key of a client account.
    bool isAnonymous = false;
};

/// Bounds that operators set on what callers may send. Zero where they set none.
struct CallerLimits
{
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    /// For the arrival of a request's header.
    Duration headerTimeout{ 0 };
    /// How long a connection may stay unused.
    Duration idleTimeout{ 0 };
};

struct Rules
{
    std::vector<ClassSpec> classes;
    std::vector<RuleSpec> rules;
    /// Empty: callers need no key.
    std::vector<AccountSpec> accounts;
};

/// Finds the rule with the longest path prefix among those of a host, in time that depends on the
/// path alone: a configuration may have thousands of rules.
class HostIndex
{
public:
    HostIndex() = default;
    explicit HostIndex(const Rules &rules);

    /// Position in `Rules::rules`; nothing when no rule matches. `path` is without query.
    std::optional<std::size_t> find(const std::string &host, const std::string &path) const;

private:
    std::unordered_map<std::string, std::size_t> m_rules;
};

/// Order of requests under overload where accounts have priorities: the account's goes first, that
/// of the rule decides among requests of equal accounts. Without accounts it is the rule's.
class PriorityOrder
{
public:
    PriorityOrder() = default;
    explicit PriorityOrder(const Rules &rules);

    /// An account without a priority, and none, stand with the most important ones.
    Priority of(std::optional<Priority> account, Priority rule) const;

private:
    using Pair = std::pair<Priority, Priority>;

    static Pair pairOf(std::optional<Priority> account, Priority rule);

    std::map<Pair, Priority> m_order;
};

/// One accepted version of inventory and rules. Immutable, shared between threads by count.
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

/// The rule for a request, or nullptr when no rule matches.
const RuleSpec *findRule(const Rules &rules, const ServiceName &service, const std::string &method,
                         const std::string &path);
/// The rule for a request to a host, or nullptr when no rule matches. Case and port of the host do
/// not matter.
const RuleSpec *findRuleOfHost(const Configuration &configuration, const std::string &host,
                               const std::string &path);
/// The client account that holds the key, or nullptr when none does.
const AccountSpec *findAccount(const Configuration &configuration, const AccountKey &key);
const ServiceSpec *findService(const Inventory &inventory, const ServiceName &service);

} // namespace ivyspar
