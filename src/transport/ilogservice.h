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
    /// The oldest offset that the log retains.
    LogOffset first;
    /// The offset that the next append will get, as far as the replica that answered knows.
    LogOffset end;
    /// In order of offset, without gaps, from the requested offset or from `first` if that is
    /// later.
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
    /// An empty page means that no newer record is known. May be stale, but never out of order.
    /// `wait`: long-poll time; if there is no record yet, the log may delay its response for this
    /// long. A log without long polling responds at once.
    virtual RetVal<LogPage> read(const StreamName &stream, LogOffset from, std::uint32_t maxRecords,
                                 Duration wait) = 0;
    /// Ends the pending reads with the error `Cancelled`, so that a graceful shutdown does not wait
    /// for them. Does nothing for a log whose reads never wait.
    virtual void cancelReads() { }
};

} // namespace ivyspar
