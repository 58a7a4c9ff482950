#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "state/time.h"
#include "state/upstreamnotice.h"

namespace ivyspar {

/// The share of this entry daemon in the rate limit of a server. Plain object.
///
/// The server's gate keeps the limit; the share only keeps calls from servers that would refuse
/// them. Each entry begins with an equal part, which grows while the gate accepts its calls and
/// shrinks with each refusal, so the parts follow the demand at the entries.
class RateShare
{
public:
    /// The server states this limit now, or none. `entries`: number of entry daemons.
    void setLimit(TimePoint now, std::optional<RequestRate> limit, std::size_t entries);
    bool isLimited() const { return m_limit.has_value(); }
    bool hasToken(TimePoint now) const;
    /// Whether the limit was not confirmed for so long that a call may find out whether it holds.
    bool isStale(TimePoint now) const;
    void onSent(TimePoint now);
    void onAccepted();
    void onRefused();

private:
    double limit() const { return toPerSecond(*m_limit); }
    double tokens(TimePoint now) const;
    /// Whether the call that ended was sent without a token and so says nothing about the share.
    bool wasBeyondShare();

    std::optional<RequestRate> m_limit;
    /// Calls per second.
    double m_share = 0;
    double m_minShare = 0;
    double m_tokens = 0;
    TimePoint m_updatedAt;
    TimePoint m_confirmedAt;
    std::uint32_t m_beyondShare = 0;
};

} // namespace ivyspar
