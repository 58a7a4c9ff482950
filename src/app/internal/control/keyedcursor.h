#pragma once

#include <optional>

#include "state/ids.h"
#include "transport/ikeyedlog.h"

namespace ivyspar {

/// Follows a keyed stream: first the newest record of each key, then what is written after them.
class KeyedCursor
{
public:
    /// `wait`: how long one read waits for news.
    KeyedCursor(IKeyedLog &log, StreamName stream, Duration wait);

    /// Suspends the calling fiber. Nothing when the log forgot what came after the place that was
    /// reached: the next call starts again with the newest records, which are all that counts.
    RetVal<std::optional<KeyedPage>> read();
    /// Where it reads on; nothing before the newest records were read.
    const std::optional<LogOffset> &next() const { return m_next; }

private:
    IKeyedLog &m_log;
    StreamName m_stream;
    Duration m_wait;
    std::optional<LogOffset> m_next;
};

} // namespace ivyspar
