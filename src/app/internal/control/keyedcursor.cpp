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
    const bool isFirst = !m_next;
    RetVal<KeyedPage> page = isFirst ? m_log.newest(m_stream) : m_log.read(m_stream, *m_next, wait);
    const bool isTruncated = !page && page.error().code == ErrorCode::NotFound;
    const bool isOtherEra = page && page->era != m_era;
    const bool isRestart = !isFirst && (isTruncated || isOtherEra);
    if (isRestart) {
        page = m_log.newest(m_stream);
    }
    if (page) {
        m_next = page->next;
        m_era = page->era;
        m_isNewestPerKey = isFirst || isRestart;
    }
    return page;
}

void KeyedCursor::skipTo(LogEra era, LogOffset next)
{
    if (era < m_era) {
        return;
    }
    m_next = era > m_era ? next : std::max(m_next.value_or(next), next);
    m_era = era;
}

} // namespace ivyspar
