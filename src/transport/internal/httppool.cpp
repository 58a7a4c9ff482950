#include "transport/internal/httppool.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

bool HttpPool::reserve()
{
    if (m_connectionCount >= m_limit) {
        return false;
    }
    ++m_connectionCount;
    return true;
}

bool HttpPool::reserveInsteadOfIdle()
{
    if (m_connectionCount >= m_limit && !m_idle.empty()) {
        discard(m_idle.front().connection.stream);
        m_idle.erase(m_idle.begin());
    }
    return reserve();
}

void HttpPool::discard(const TcpStreamPtr &stream)
{
    stream->close();
    --m_connectionCount;
}

/// A server may have closed a connection while it was idle; a request written to it would be lost
/// with an unknown outcome. A close that has already arrived is detected here, before any byte is
/// sent.
std::optional<HttpPoolConnection> HttpPool::takeIdle(const std::string &echo)
{
    for (std::size_t i = m_idle.size(); i > 0; --i) {
        if (m_idle[i - 1].connection.carried.contains(echo)) {
            continue;
        }
        HttpPoolConnection connection = std::move(m_idle[i - 1].connection);
        m_idle.erase(m_idle.begin() + static_cast<std::ptrdiff_t>(i - 1));
        if (connection.stream->isIdle()) {
            return connection;
        }
        discard(connection.stream);
    }
    return std::nullopt;
}

void HttpPool::putIdle(HttpPoolConnection connection, TimePoint now)
{
    if (m_connectionCount > m_limit) {
        discard(connection.stream);
        return;
    }
    m_idle.push_back({ std::move(connection), now });
}

void HttpPool::closeIdleSince(TimePoint time)
{
    closeIdleIf([time](const Idle &idle) { return idle.since <= time; });
}

void HttpPool::closeUnusable()
{
    closeIdleIf([](const Idle &idle) { return !idle.connection.stream->isIdle(); });
}

template <typename Condition> void HttpPool::closeIdleIf(const Condition &condition)
{
    const auto closed = [&](const Idle &idle) {
        if (!condition(idle)) {
            return false;
        }
        discard(idle.connection.stream);
        return true;
    };
    m_idle.erase(std::remove_if(m_idle.begin(), m_idle.end(), closed), m_idle.end());
}

void HttpPool::setLimit(std::size_t limit)
{
    m_limit = limit;
    m_hasOwnLimit = true;
}

} // namespace ivyspar
