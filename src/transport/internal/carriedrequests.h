#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "state/time.h"

namespace ivyspar {

/// The requests that one connection has carried, by the value that the server echoes. A late copy
/// of the response to one of them bears the value of every later send of that request. Plain
/// object.
class CarriedRequests
{
public:
    /// Records a request that is not sent again after `end`. An empty `echo` only marks the
    /// connection as used.
    void add(TimePoint now, const std::string &echo, TimePoint end);
    /// Whether the request was carried. Never false for a carried one that may be sent again.
    bool contains(const std::string &echo) const;
    /// All requests that were ever carried.
    std::size_t count() const { return m_count; }
    /// Whether the connection must not carry more requests, as their values could not be kept.
    bool isFull() const;

private:
    void removeEnded(TimePoint now);

    /// Hash of the value, and the time until which it is kept.
    std::unordered_map<std::size_t, TimePoint> m_ends;
    std::size_t m_sizeToClean = 0;
    std::size_t m_count = 0;
};

} // namespace ivyspar
