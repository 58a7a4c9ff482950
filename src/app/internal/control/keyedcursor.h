#pragma once

#include <optional>

#include "state/ids.h"
#include "transport/ikeyedlog.h"

namespace ivyspar {

/// Reads a keyed stream: first the newest record of each key, then the records after them.
class KeyedCursor
{
public:
    KeyedCursor(IKeyedLog &log, StreamName stream);

    /// Suspends the calling fiber, for up to `wait` while there are no new records. If the log
    /// truncated the records at this position, or was restored from an older copy, returns the
    /// newest record of each key instead, which supersede all others. Errors are the log's.
    RetVal<KeyedPage> read(Duration wait);
    /// Skips the records before `next`, which are known already. Never moves back within an era.
    void skipTo(LogEra era, LogOffset next);
    /// Whether the last successful read returned the newest record of each key.
    bool isNewestPerKey() const { return m_isNewestPerKey; }
    /// Offset of the next read; nothing before the newest records were read.
    const std::optional<LogOffset> &next() const { return m_next; }

private:
    IKeyedLog &m_log;
    StreamName m_stream;
    std::optional<LogOffset> m_next;
    LogEra m_era;
    bool m_isNewestPerKey = false;
};

} // namespace ivyspar
