#pragma once

#include <memory>

#include "state/configuration.h"
#include "state/ids.h"
#include "state/irandom.h"

namespace ivyspar {

/// Divides the requests of a rule among the services of its split. Plain object.
///
/// Each part gets its share of any run of requests to within one request, where drawing lots would
/// leave it off by the square root of their number: a small entry would miss the weights by far.
class IWeightedSplit
{
public:
    virtual ~IWeightedSplit() = default;

    /// The service of the rule's next request. `rule.split` is not empty.
    virtual ServiceName choose(const RuleSpec &rule, IRandom &random) = 0;
    /// The rules may have changed.
    virtual void reset() = 0;
};

std::unique_ptr<IWeightedSplit> makeWeightedSplit();

} // namespace ivyspar
