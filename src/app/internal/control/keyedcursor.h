#pragma once

#include <optional>

#include "state/ids.h"
#include "transport/ikeyedlog.h"

namespace ivyspar {

/// Follows a keyed stream: first the newest record of each key, then what is written after them.
class KeyedCursor
{
public:
    KeyedCursor(IKeyedLog &log, StreamName stream);

    /// Suspends the calling fiber, for `wait` while there are no news. Where the log forgot what
    /// came after the place that was reached, or came back from an older copy, gives the newest
    /// records, which are all that counts.
    RetVal<KeyedPage> read(Duration wait);
    /// What comes before that place is known already.
    void skipTo(LogEra era, LogOffset next);
    /// Whether the last read gave the newest record of each key, and not what came after others.
    bool isNewestPerKey() const { return m_isNewestPerKey; }
    /// Where it reads on; nothing before the newest records were read.
    const std::optional<LogOffset> &next() const { return m_next; }

private:
    IKeyedLog &m_log;
    StreamName m_stream;
    std::optional<LogOffset> m_next;
    LogEra m_era;
    bool m_isNewestPerKey = false;
};

} // namespace ivyspar
