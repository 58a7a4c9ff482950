#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "state/time.h"
#include "state/tokenbucket.h"
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
    /// Applies the limit that the server states; nothing if it states none. `entries`: number of
    /// entry daemons that share it.
    void setLimit(TimePoint now, std::optional<RequestRate> limit, std::size_t entries);
    bool isLimited() const { return m_limit.has_value(); }
    bool hasToken(TimePoint now) const;
    /// Whether the limit was not confirmed for so long that a call may find out whether it holds.
    bool isStale(TimePoint now) const;
    /// A call was sent; takes a token if there is one.
    void onSent(TimePoint now);
    /// The server's gate let a call start.
    void onAccepted();
    /// The server's gate refused a call as its limit is used up.
    void onRefused();

private:
    /// Size of the bucket beside one token, in time at the share.
    static constexpr double BURST_SECONDS = 0.25;

    double limit() const { return toPerSecond(*m_limit); }
    /// Counts off a call that was sent without a token, as it says nothing about the share. Returns
    /// false if there is none.
    bool takeCallBeyondShare();

    std::optional<RequestRate> m_limit;
    /// Its rate is the share, in calls per second.
    TokenBucket m_bucket{ BURST_SECONDS };
    double m_minShare = 0;
    TimePoint m_confirmedAt;
    /// Calls in flight that were sent without a token.
    std::uint32_t m_callsBeyondShare = 0;
};

} // namespace ivyspar
