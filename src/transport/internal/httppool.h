#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "state/time.h"
#include "transport/internal/tcpstream.h"

namespace ivyspar {

/// The client's connections to one endpoint.
class HttpPool : public boost::intrusive_ref_counter<HttpPool, boost::thread_unsafe_counter>
{
public:
    explicit HttpPool(std::size_t limit)
        : m_limit(limit)
    {
    }

    /// Counts a connection that is about to be opened; false when the limit is reached.
    bool reserve();
    /// An open or reserved connection is gone.
    void discard(const TcpStreamPtr &stream);
    /// The unused connection that was used last, or null.
    TcpStreamPtr takeIdle();
    void putIdle(TcpStreamPtr stream, TimePoint now);
    /// Closes connections that were not used since `time`.
    void closeIdleSince(TimePoint time);

    void setLimit(std::size_t limit);
    std::size_t idleCount() const { return m_idle.size(); }
    std::size_t connectionCount() const { return m_connectionCount; }
    /// Nothing would be lost with this pool.
    bool isDisposable() const { return m_connectionCount == 0 && !m_hasOwnLimit; }

private:
    struct Idle
    {
        TcpStreamPtr stream;
        TimePoint since;
    };

    std::size_t m_limit;
    bool m_hasOwnLimit = false;
    /// Opening, in use and idle.
    std::size_t m_connectionCount = 0;
    /// In order of last use.
    std::vector<Idle> m_idle;
};
using HttpPoolPtr = boost::intrusive_ptr<HttpPool>;

} // namespace ivyspar
