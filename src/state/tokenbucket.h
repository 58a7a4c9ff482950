#pragma once

#include <cstddef>

#include "state/time.h"

namespace ivyspar {

/// Paces requests at a rate. Plain object.
///
/// The bucket is empty at first and holds one token beside those of a short burst: a large one
/// would be spent at once after an idle time.
class TokenBucket
{
public:
    /// The bucket holds the tokens of that many seconds, beside one. Begins with rate 0.
    explicit TokenBucket(double burstSeconds)
        : m_burstSeconds(burstSeconds)
    {
    }

    /// Sets the rate in tokens per second; it applies from the latest `advance` or `take`.
    void setRate(double perSecond) { m_rate = perSecond; }
    double rate() const { return m_rate; }
    /// Adds the tokens up to `now`, so that a new rate applies to later times only.
    void advance(TimePoint now);
    bool hasToken(TimePoint now) const;
    /// Takes a token; without one the count becomes negative, and later requests wait longer.
    void take(TimePoint now);
    /// Time until that many tokens are there. The rate must not be 0.
    Duration timeUntil(TimePoint now, std::size_t tokens) const;
    /// Time at which there is a token; in the past if there is one now. The rate must not be 0.
    TimePoint nextTokenAt() const { return m_updatedAt + timeUntil(m_updatedAt, 1); }

private:
    double tokens(TimePoint now) const;

    double m_burstSeconds;
    double m_rate = 0;
    double m_tokens = 0;
    TimePoint m_updatedAt;
};

} // namespace ivyspar
