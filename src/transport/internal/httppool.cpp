#include "transport/internal/httppool.h"

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

void HttpPool::discard(const TcpStreamPtr &stream)
{
    stream->close();
    --m_connectionCount;
}

/// A server may have closed a connection while it was idle; a request written to it would be lost
/// with an unknown outcome. A close that has already arrived is detected here, before any byte is
/// sent.
TcpStreamPtr HttpPool::takeIdle()
{
    while (!m_idle.empty()) {
        TcpStreamPtr stream = std::move(m_idle.back().stream);
        m_idle.pop_back();
        if (stream->isIdle()) {
            return stream;
        }
        discard(stream);
    }
    return {};
}

void HttpPool::putIdle(TcpStreamPtr stream, TimePoint now)
{
    if (m_connectionCount > m_limit) {
        discard(stream);
        return;
    }
    m_idle.push_back({ std::move(stream), now });
}

void HttpPool::closeIdleSince(TimePoint time)
{
    auto end = m_idle.begin();
    while (end != m_idle.end() && end->since <= time) {
        discard(end->stream);
        ++end;
    }
    m_idle.erase(m_idle.begin(), end);
}

void HttpPool::setLimit(std::size_t limit)
{
    m_limit = limit;
    m_hasOwnLimit = true;
}

} // namespace ivyspar
