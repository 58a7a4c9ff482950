#include "state/configuration.h"

#include <algorithm>
#include <tuple>

namespace ivyspar {

namespace {

bool matches(const RuleSpec &rule, const ServiceName &service, const std::string &method,
             const std::string &path)
{
    if (rule.service != service) {
        return false;
    }
    if (!rule.method.empty() && rule.method != method) {
        return false;
    }
    return path.compare(0, rule.path.size(), rule.path) == 0;
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

const ServiceSpec *findService(const Inventory &inventory, const ServiceName &service)
{
    const auto found = std::find_if(inventory.services.begin(), inventory.services.end(),
                                    [&](const ServiceSpec &spec) { return spec.name == service; });
    return found == inventory.services.end() ? nullptr : &*found;
}

} // namespace ivyspar
