#pragma once

#include <string>
#include <vector>

#include "state/ids.h"
#include "state/result.h"
#include "state/time.h"

namespace ivyspar {

struct KeyedRecord
{
    std::string key;
    /// Empty when the key was removed.
    std::string value;
};

struct KeyedPage
{
    /// In write order.
    std::vector<KeyedRecord> records;
    /// The offset to continue reading from, in this era.
    LogOffset next;
    LogEra era;
};

/// Response timeout of a call, not counting the time that a read waits for new records. A response
/// usually takes some milliseconds; a lost one never arrives.
constexpr Duration KEYED_LOG_TIMEOUT = std::chrono::milliseconds(700);

/// Compacted streams of the platform, which retain the newest record of each key indefinitely.
/// Calls suspend the calling fiber.
class IKeyedLog
{
public:
    virtual ~IKeyedLog() = default;

    /// The newest record of each key.
    virtual RetVal<KeyedPage> newest(const StreamName &stream) = 0;
    /// The records written from offset `from` on; waits up to `wait` for one. `NotFound` if that
    /// offset is no longer retained or does not exist: read the state with `newest` instead.
    virtual RetVal<KeyedPage> read(const StreamName &stream, LogOffset from, Duration wait) = 0;
    /// Writes all records or none. After `Unknown` they may have been written.
    virtual Ret put(const StreamName &stream, const std::vector<KeyedRecord> &records) = 0;
    /// Ends the pending calls with the error `Cancelled`.
    virtual void cancel() = 0;
};

} // namespace ivyspar
