#pragma once

#include "state/imetrics.h"

namespace ivyspar {

/// Name, labels and help text of an exported value. Values with the same name must be adjacent in
/// their enumeration.
struct MetricDescription
{
    const char *name;
    /// Labels without braces; empty for none.
    const char *labels;
    const char *help;
};

const MetricDescription &descriptionOf(Counter counter);
const MetricDescription &descriptionOf(Gauge gauge);
const MetricDescription &descriptionOf(Timing timing);

/// Number of values of an enumeration whose last enumerator is `Count`.
template <typename E> constexpr std::size_t countOf()
{
    return static_cast<std::size_t>(E::Count);
}

} // namespace ivyspar
