#pragma once

#include <memory>

#include "state/configuration.h"
#include "state/ids.h"
#include "state/irandom.h"

namespace ivyspar {

/// Divides the requests of a rule among the services of its split. Plain object.
///
/// Each part gets its share of any series of requests to within one request. A random choice would
/// deviate by the square root of their number, which is far from the weights at a small entry.
class IWeightedSplit
{
public:
    virtual ~IWeightedSplit() = default;

    /// The service of the rule's next request. `rule.split` is not empty.
    virtual ServiceName choose(const RuleSpec &rule, IRandom &random) = 0;
    /// Forgets the state of all rules, as they may have changed.
    virtual void reset() = 0;
};

std::unique_ptr<IWeightedSplit> makeWeightedSplit();

} // namespace ivyspar
