#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "state/time.h"
#include "transport/internal/carriedrequests.h"
#include "transport/internal/tcpstream.h"

namespace ivyspar {

/// A connection to an endpoint and what it was used for.
struct HttpPoolConnection
{
    /// Unique at the client, from 1.
    std::uint64_t number = 0;
    TcpStreamPtr stream;
    CarriedRequests carried;
};

/// The pool of the client's connections to one endpoint.
class HttpPool : public boost::intrusive_ref_counter<HttpPool, boost::thread_unsafe_counter>
{
public:
    explicit HttpPool(std::size_t limit)
        : m_limit(limit)
    {
    }

    /// Reserves a connection that is about to be opened; false if the limit is reached.
    bool reserve();
    /// Like `reserve`, but closes an idle connection if the limit is reached.
    bool reserveInsteadOfIdle();
    /// Closes an open or reserved connection and releases its place in the pool.
    void discard(const TcpStreamPtr &stream);
    /// The most recently used idle connection that has not carried the request with this echo
    /// value, see `HttpClientLimits::echoHeader`; nothing if there is none.
    std::optional<HttpPoolConnection> takeIdle(const std::string &echo);
    void putIdle(HttpPoolConnection connection, TimePoint now);
    /// Closes the connections that have been idle since `time` or earlier.
    void closeIdleSince(TimePoint time);
    /// Closes the idle connections that the server has closed or on which it has sent bytes.
    void closeUnusable();

    void setLimit(std::size_t limit);
    std::size_t idleCount() const { return m_idle.size(); }
    std::size_t connectionCount() const { return m_connectionCount; }
    /// Whether the pool has neither connections nor a limit of its own.
    bool isDisposable() const { return m_connectionCount == 0 && !m_hasOwnLimit; }

private:
    struct Idle
    {
        HttpPoolConnection connection;
        TimePoint since;
    };

    template <typename Condition> void closeIdleIf(const Condition &condition);

    std::size_t m_limit;
    bool m_hasOwnLimit = false;
    /// Opening, in use and idle.
    std::size_t m_connectionCount = 0;
    /// In order of last use.
    std::vector<Idle> m_idle;
};
using HttpPoolPtr = boost::intrusive_ptr<HttpPool>;

} // namespace ivyspar
