#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Learns how long calls take, by rule, from samples of ended calls.
class ServiceTimes
{
public:
    void add(const RuleName &rule, Duration time);
    /// The time within which three of four calls of the rule end; nothing before its first sample.
    /// Rare calls that take far longer than the others do not move it.
    std::optional<Duration> of(const RuleName &rule) const;

private:
    struct Learned
    {
        /// In µs.
        double time = 0;
        std::uint32_t samples = 0;
    };

    static void learn(Learned &learned, double sample);

    std::unordered_map<RuleName, Learned> m_times;
};

} // namespace ivyspar
