#include "app/internal/control/keyedcursor.h"

#include <utility>

namespace ivyspar {

KeyedCursor::KeyedCursor(IKeyedLog &log, StreamName stream, Duration wait)
    : m_log(log)
    , m_stream(std::move(stream))
    , m_wait(wait)
{
}

RetVal<std::optional<KeyedPage>> KeyedCursor::read()
{
    RetVal<KeyedPage> page =
        m_next ? m_log.read(m_stream, *m_next, m_wait) : m_log.newest(m_stream);
    if (!page && page.error().code == ErrorCode::NotFound) {
        m_next.reset();
        return std::optional<KeyedPage>();
    }
    if (!page) {
        return tl::unexpected<Error>(page.error());
    }
    m_next = page->next;
    return std::optional<KeyedPage>(std::move(*page));
}

} // namespace ivyspar
