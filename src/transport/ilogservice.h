#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "state/ids.h"
#include "state/result.h"
#include "state/time.h"

namespace ivyspar {

struct LogRecord
{
    LogOffset offset;
    std::string payload;
};

struct LogPage
{
    /// The oldest offset that the log still keeps.
    LogOffset first;
    /// The offset that the next append will get, as far as the replica that answered knows.
    LogOffset end;
    /// In order of offset, without gaps, from the asked offset or from `first` if that is later.
    std::vector<LogRecord> records;
};

/// The platform's append-only log. Calls suspend the calling fiber.
class ILogService
{
public:
    virtual ~ILogService() = default;

    /// Errors: `Unavailable` and `Throttled` prove that the record was not appended; after
    /// `Unknown` it may have been.
    virtual RetVal<LogOffset> append(const StreamName &stream, const std::string &payload) = 0;
    /// An empty page means that nothing newer is known. May be stale, but never out of order.
    /// `wait`: when nothing is there yet, the log may hold the answer back for this long. A log
    /// that cannot do so answers at once.
    virtual RetVal<LogPage> read(const StreamName &stream, LogOffset from, std::uint32_t maxRecords,
                                 Duration wait) = 0;
    /// Ends the reads that are waiting now, with the error `Cancelled`, so that a planned stop need
    /// not wait for them. A log whose reads never wait does nothing.
    virtual void cancelReads() { }
};

} // namespace ivyspar
