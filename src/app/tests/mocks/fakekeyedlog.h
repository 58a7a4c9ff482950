#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

#include "transport/ieventloop.h"
#include "transport/ikeyedlog.h"

namespace ivyspar {

/// Keyed streams in memory. To be used on the loop's thread, or before the loop runs anything.
class FakeKeyedLog : public IKeyedLog
{
public:
    explicit FakeKeyedLog(IEventLoop &loop)
        : m_loop(loop)
    {
    }

    /// All reads fail.
    bool isDown = false;
    /// The next `read` fails because its records were truncated.
    bool isTruncated = false;
    /// `read` waits for new records.
    bool supportsLongPoll = true;
    /// Number of calls of `newest` and `read`.
    std::size_t reads = 0;
    /// Runs after each record that is put.
    std::function<void()> onPut;

    void write(const StreamName &stream, const std::string &key, const std::string &value)
    {
        m_streams[stream].push_back({ key, value });
    }
    /// Restores a copy that lacks the last `records` records of the stream, in a new era.
    void restoreOlderCopy(const StreamName &stream, std::size_t records)
    {
        m_streams[stream].resize(m_streams[stream].size() - records);
        m_era = LogEra(m_era.value() + 1);
    }
    std::size_t writes(const StreamName &stream) { return m_streams[stream].size(); }

    RetVal<KeyedPage> newest(const StreamName &stream) override
    {
        ++reads;
        if (isDown) {
            return makeError(ErrorCode::Unavailable, "down");
        }
        std::map<std::string, std::string> values;
        for (const KeyedRecord &record : m_streams[stream]) {
            values[record.key] = record.value;
        }
        KeyedPage page;
        for (const auto &[key, value] : values) {
            page.records.push_back({ key, value });
        }
        page.next = LogOffset(m_streams[stream].size());
        page.era = m_era;
        return page;
    }

    RetVal<KeyedPage> read(const StreamName &stream, LogOffset from, Duration wait) override
    {
        ++reads;
        const std::uint64_t calls = m_cancels;
        const TimePoint end = m_loop.now() + (supportsLongPoll ? wait : Duration::zero());
        while (m_streams[stream].size() <= from.value() && m_loop.now() < end
               && calls == m_cancels) {
            m_loop.sleepFor(std::chrono::milliseconds(1));
        }
        if (isTruncated) {
            isTruncated = false;
            return makeError(ErrorCode::NotFound, "forgotten");
        }
        if (calls != m_cancels) {
            return makeError(ErrorCode::Cancelled, "cancelled");
        }
        KeyedPage page;
        page.era = m_era;
        const auto &records = m_streams[stream];
        if (records.size() < from.value()) {
            return makeError(ErrorCode::NotFound, "no such offset");
        }
        page.records.assign(records.begin() + static_cast<std::ptrdiff_t>(from.value()),
                            records.end());
        page.next = LogOffset(records.size());
        return page;
    }

    Ret put(const StreamName &stream, const std::vector<KeyedRecord> &records) override
    {
        if (isDown) {
            return makeError(ErrorCode::Unavailable, "down");
        }
        for (const KeyedRecord &record : records) {
            write(stream, record.key, record.value);
        }
        if (onPut) {
            onPut();
        }
        return {};
    }

    void cancel() override { ++m_cancels; }

private:
    IEventLoop &m_loop;
    std::map<StreamName, std::vector<KeyedRecord>> m_streams;
    std::uint64_t m_cancels = 0;
    LogEra m_era{ 1 };
};

} // namespace ivyspar
