#include "state/configuration.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "state/http.h"

namespace ivyspar {

namespace {

bool matches(const RuleSpec &rule, const ServiceName &service, const std::string &method,
             const std::string &path)
{
    if (!rule.host.empty() || rule.service != service) {
        return false;
    }
    if (!rule.method.empty() && rule.method != method) {
        return false;
    }
    return path.compare(0, rule.path.size(), rule.path) == 0;
}

/// Host names contain no slash, so the boundary between host and path is unambiguous.
std::string indexKey(const std::string &host, const std::string &prefix)
{
    return host + prefix;
}

bool isMoreSpecific(const RuleSpec &a, const RuleSpec &b)
{
    return std::make_tuple(a.path.size(), !a.method.empty())
        > std::make_tuple(b.path.size(), !b.method.empty());
}

} // namespace

const RuleSpec *findRule(const Rules &rules, const ServiceName &service, const std::string &method,
                         const std::string &path)
{
    const RuleSpec *best = nullptr;
    for (const RuleSpec &rule : rules.rules) {
        if (!matches(rule, service, method, path)) {
            continue;
        }
        if (!best || isMoreSpecific(rule, *best)) {
            best = &rule;
        }
    }
    return best;
}

HostIndex::HostIndex(const Rules &rules)
{
    for (std::size_t i = 0; i < rules.rules.size(); ++i) {
        const RuleSpec &rule = rules.rules[i];
        if (!rule.host.empty()) {
            m_rules.emplace(indexKey(hostNameOf(rule.host), rule.path), i);
        }
    }
}

std::optional<std::size_t> HostIndex::find(const std::string &host, const std::string &path) const
{
    const std::string name = hostNameOf(host);
    // Prefixes end with a slash, so only the parts of the path up to one of its slashes can match.
    for (auto end = path.rfind('/'); end != std::string::npos; end = path.rfind('/', end - 1)) {
        const auto found = m_rules.find(indexKey(name, path.substr(0, end + 1)));
        if (found != m_rules.end()) {
            return found->second;
        }
        if (end == 0) {
            break;
        }
    }
    return std::nullopt;
}

const RuleSpec *findRuleOfHost(const Configuration &configuration, const std::string &host,
                               const std::string &path)
{
    const auto found = configuration.hosts.find(host, path);
    return found ? &configuration.rules.rules[*found] : nullptr;
}

PriorityOrder::PriorityOrder(const Rules &rules)
{
    if (rules.accounts.empty()) {
        return;
    }
    std::set<Pair> pairs;
    for (const RuleSpec &rule : rules.rules) {
        pairs.insert(pairOf(std::nullopt, rule.priority));
        for (const AccountSpec &account : rules.accounts) {
            pairs.insert(pairOf(account.priority, rule.priority));
        }
    }
    std::uint8_t next = HIGHEST_PRIORITY.value();
    for (auto pair = pairs.rbegin(); pair != pairs.rend(); ++pair) {
        m_order[*pair] = Priority(next);
        next -= next > 0 ? 1 : 0;
    }
}

Priority PriorityOrder::of(std::optional<Priority> account, Priority rule) const
{
    const auto found = m_order.find(pairOf(account, rule));
    return found == m_order.end() ? rule : found->second;
}

PriorityOrder::Pair PriorityOrder::pairOf(std::optional<Priority> account, Priority rule)
{
    return { account.value_or(HIGHEST_PRIORITY), rule };
}

const AccountSpec *findAccount(const Configuration &configuration, const AccountKey &key)
{
    const auto found = configuration.keys.find(key);
    return found ? &configuration.rules.accounts[*found] : nullptr;
}

const ServiceSpec *findService(const Inventory &inventory, const ServiceName &service)
{
    const auto found = std::find_if(inventory.services.begin(), inventory.services.end(),
                                    [&](const ServiceSpec &spec) { return spec.name == service; });
    return found == inventory.services.end() ? nullptr : &*found;
}

} // namespace ivyspar
