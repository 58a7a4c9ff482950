#include "coordination/routing/internal/weightedsplit.h"

#include <algorithm>

namespace ivyspar {

std::unique_ptr<IWeightedSplit> makeWeightedSplit()
{
    return std::make_unique<WeightedSplit>();
}

ServiceName WeightedSplit::choose(const RuleSpec &rule, IRandom &random)
{
    Credits &credits = creditsOf(rule, random);
    double total = 0;
    for (std::size_t i = 0; i < credits.size(); ++i) {
        credits[i] += rule.split[i].weight;
        total += rule.split[i].weight;
    }
    const auto most = std::max_element(credits.begin(), credits.end());
    *most -= total;
    return rule.split[static_cast<std::size_t>(most - credits.begin())].service;
}

/// Starts at random credits. Otherwise all entries would send their first requests to the part with
/// the largest weight.
WeightedSplit::Credits &WeightedSplit::creditsOf(const RuleSpec &rule, IRandom &random)
{
    const auto [found, isNew] = m_credits.try_emplace(rule.name);
    if (isNew || found->second.size() != rule.split.size()) {
        found->second.clear();
        for (const SplitPart &part : rule.split) {
            found->second.push_back(part.weight * random.unit());
        }
    }
    return found->second;
}

} // namespace ivyspar
