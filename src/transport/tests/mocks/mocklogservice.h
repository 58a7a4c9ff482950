#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "transport/ilogservice.h"

namespace ivyspar {

/// In-memory implementation of the platform's log with fault injection. Never suspends by itself.
class MockLogService : public ILogService
{
public:
    enum class Fault {
        None,
        Unavailable, ///< Nothing is appended or read.
        Throttled, ///< As Unavailable, but reported as a rate limit.
        ResponseLost, ///< The record is appended, the caller gets `Unknown`.
        RecordLost, ///< The record is not appended, the caller gets `Unknown`.
    };

    /// Applies to each append or read until it is changed.
    Fault appendFault = Fault::None;
    Fault readFault = Fault::None;
    /// Number of newest records that reads do not return yet.
    std::size_t staleRecords = 0;
    /// Runs before each append, so that a test can let another writer append first.
    std::function<void(const StreamName &, const std::string &)> beforeAppend;
    std::size_t appendCalls = 0;
    std::size_t readCalls = 0;

    RetVal<LogOffset> append(const StreamName &stream, const std::string &payload) override
    {
        ++appendCalls;
        if (beforeAppend) {
            beforeAppend(stream, payload);
        }
        switch (appendFault) {
        case Fault::Unavailable:
            return makeError(ErrorCode::Unavailable, "mock: the log is unavailable");
        case Fault::Throttled:
            return makeError(ErrorCode::Throttled, "mock: too many appends");
        case Fault::ResponseLost:
            put(stream, payload);
            return makeError(ErrorCode::Unknown, "mock: no answer");
        case Fault::RecordLost:
            return makeError(ErrorCode::Unknown, "mock: no answer");
        case Fault::None:
            break;
        }
        return put(stream, payload);
    }

    RetVal<LogPage> read(const StreamName &stream, LogOffset from, std::uint32_t maxRecords,
                         Duration /*wait*/) override
    {
        ++readCalls;
        if (readFault != Fault::None) {
            return makeError(readFault == Fault::Throttled ? ErrorCode::Throttled
                                                           : ErrorCode::Unavailable,
                             "mock: the log cannot be read");
        }
        const Stream &records = m_streams[stream];
        const std::uint64_t end =
            std::max(records.first, records.end() - std::min(records.end(), staleRecords));
        LogPage page{ LogOffset(records.first), LogOffset(end), {} };
        for (std::uint64_t offset = std::max(from.value(), records.first);
             offset < end && page.records.size() < maxRecords; ++offset) {
            page.records.push_back({ LogOffset(offset), records.payloads[offset - records.first] });
        }
        return page;
    }

    /// Appends as another writer would, regardless of the faults.
    LogOffset put(const StreamName &stream, const std::string &payload)
    {
        Stream &records = m_streams[stream];
        records.payloads.push_back(payload);
        return LogOffset(records.end() - 1);
    }

    /// Drops the records before `first`, as log retention does.
    void trim(const StreamName &stream, LogOffset first)
    {
        Stream &records = m_streams[stream];
        while (records.first < first.value() && !records.payloads.empty()) {
            records.payloads.erase(records.payloads.begin());
            ++records.first;
        }
    }

    /// All payloads that the stream retains.
    const std::vector<std::string> &payloads(const StreamName &stream)
    {
        return m_streams[stream].payloads;
    }

private:
    struct Stream
    {
        std::uint64_t first = 0;
        std::vector<std::string> payloads;
        std::uint64_t end() const { return first + payloads.size(); }
    };

    std::map<StreamName, Stream> m_streams;
};

} // namespace ivyspar
