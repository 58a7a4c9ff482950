#pragma once

#include "state/imetrics.h"

namespace ivyspar {

/// How a value appears in the text. Values of one name stand next to each other in their
/// enumeration.
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

/// Number of values of an enumeration that ends with `Count`.
template <typename E> constexpr std::size_t countOf()
{
    return static_cast<std::size_t>(E::Count);
}

} // namespace ivyspar
