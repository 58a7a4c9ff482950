#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// A service and what each of its servers can take.
struct ServiceSpec
{
    ServiceName name;
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

/// Rule for the requests of a service whose method and path match. The longest path prefix wins.
struct RuleSpec
{
    RuleName name;
    ServiceName service;
    /// Empty matches every method.
    std::string method;
    /// Prefix of the path; empty matches every path.
    std::string path;
    ClassName requestClass;
    /// Priority of `requestClass`, resolved when the rules are read.
    Priority priority;
    /// How long a caller waits when it names no deadline, and the longest deadline it may name.
    Duration wait{ 0 };
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
};

struct Rules
{
    std::vector<ClassSpec> classes;
    std::vector<RuleSpec> rules;
};

/// One accepted version of inventory and rules. Immutable, shared between threads by count.
struct Configuration : boost::intrusive_ref_counter<Configuration, boost::thread_safe_counter>
{
    ConfigurationVersion version;
    Inventory inventory;
    Rules rules;
};
using ConfigurationPtr = boost::intrusive_ptr<const Configuration>;

/// The rule for a request, or nullptr when no rule matches.
const RuleSpec *findRule(const Rules &rules, const ServiceName &service, const std::string &method,
                         const std::string &path);
const ServiceSpec *findService(const Inventory &inventory, const ServiceName &service);

} // namespace ivyspar
