#pragma once

#include <cstddef>
#include <optional>

#include "state/time.h"
#include "state/tokenbucket.h"
#include "state/upstreamnotice.h"

namespace ivyspar {

/// Paces the requests to a server that states a rate limit. Plain object.
///
/// The bucket is empty at first: a full one would be spent at once after each restart of this
/// daemon.
class RateLimiter
{
public:
    /// Nothing: no limit.
    void setLimit(TimePoint now, std::optional<RequestRate> limit);
    bool isLimited() const { return m_bucket.has_value(); }
    /// Requests per second; a rate close to 0 is raised, as only a response can lift the limit.
    double rate() const { return m_bucket ? m_bucket->rate() : 0; }

    /// Takes a token for a request. Returns false if there is none.
    bool tryTake(TimePoint now);
    /// Takes a token for a request that cannot wait; the next ones wait longer.
    void charge(TimePoint now);
    bool hasToken(TimePoint now) const;
    /// Time until that many further requests can be sent.
    Duration timeUntil(TimePoint now, std::size_t requests) const;
    /// Time at which the next request can be sent; in the past if it can be sent now.
    TimePoint nextTokenAt() const;
    /// Maximum number of requests that may wait for a token.
    std::size_t maxWaiting() const;

private:
    std::optional<TokenBucket> m_bucket;
};

} // namespace ivyspar
