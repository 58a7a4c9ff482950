#include "app/internal/control/keyedcursor.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

KeyedCursor::KeyedCursor(IKeyedLog &log, StreamName stream)
    : m_log(log)
    , m_stream(std::move(stream))
{
}

RetVal<KeyedPage> KeyedCursor::read(Duration wait)
{
    RetVal<KeyedPage> page = m_next ? m_log.read(m_stream, *m_next, wait) : m_log.newest(m_stream);
    const bool isForgotten = !page && page.error().code == ErrorCode::NotFound;
    if (m_next && isForgotten) {
        page = m_log.newest(m_stream);
    }
    if (page) {
        m_next = page->next;
    }
    return page;
}

void KeyedCursor::skipTo(LogOffset next)
{
    m_next = std::max(m_next.value_or(next), next);
}

} // namespace ivyspar
