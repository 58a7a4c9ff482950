#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/routing/iweightedsplit.h"

namespace ivyspar {

class WeightedSplit : public IWeightedSplit
{
public:
    ServiceName choose(const RuleSpec &rule, IRandom &random) override;
    void reset() override { m_credits.clear(); }

private:
    /// Accumulated credit of each part, in units of weight.
    using Credits = std::vector<double>;

    Credits &creditsOf(const RuleSpec &rule, IRandom &random);

    std::unordered_map<RuleName, Credits> m_credits;
};

} // namespace ivyspar
