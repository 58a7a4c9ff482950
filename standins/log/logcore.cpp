#include "standins/log/logcore.h"

#include <algorithm>

namespace ivyspar::lab {

namespace {

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

LogCore::LogCore(const LogLimits &limits)
    : m_limits(limits)
    , m_permits(limits.appendsPerSecond)
{
}

AppendResult LogCore::append(const StreamName &name, const std::string &payload,
                             const std::string &client, TimePoint now)
{
    if (isCut(client)) {
        return { AppendResult::Kind::NoAnswer, {} };
    }
    if (m_faults.isDown) {
        return { AppendResult::Kind::Down, {} };
    }
    if (payload.size() > m_limits.recordBytes) {
        return { AppendResult::Kind::TooLarge, {} };
    }
    StreamStatistics &statistics = m_statistics[name];
    if (!takeAppendPermit(now)) {
        ++statistics.throttled;
        return { AppendResult::Kind::Throttled, {} };
    }
    if (m_faults.answersLostBefore > 0) {
        --m_faults.answersLostBefore;
        return { AppendResult::Kind::NoAnswer, {} };
    }
    Stream &stream = m_streams[name];
    const LogOffset offset(stream.first + stream.records.size());
    stream.records.push_back({ payload, now });
    forgetOld(stream, now);
    ++statistics.appends;
    statistics.appendedBytes += payload.size();
    if (m_faults.answersLostAfter > 0) {
        --m_faults.answersLostAfter;
        return { AppendResult::Kind::NoAnswer, {} };
    }
    return { AppendResult::Kind::Appended, offset };
}

ReadResult LogCore::read(const StreamName &name, LogOffset from, std::uint32_t maxRecords,
                         const std::string &client, TimePoint now)
{
    if (isCut(client)) {
        return { ReadResult::Kind::NoAnswer, {} };
    }
    if (m_faults.isDown) {
        return { ReadResult::Kind::Down, {} };
    }
    Stream &stream = m_streams[name];
    forgetOld(stream, now);
    ReadResult result{ ReadResult::Kind::Page, makePage(stream, from, maxRecords, now) };
    StreamStatistics &statistics = m_statistics[name];
    ++statistics.reads;
    statistics.emptyReads += result.page.records.empty() ? 1 : 0;
    for (const LogRecord &record : result.page.records) {
        statistics.readBytes += record.payload.size();
    }
    return result;
}

void LogCore::forgetBefore(const StreamName &name, LogOffset offset)
{
    Stream &stream = m_streams[name];
    while (!stream.records.empty() && stream.first < offset.value()) {
        stream.records.pop_front();
        ++stream.first;
    }
}

bool LogCore::isCut(const std::string &client) const
{
    return m_faults.isSilent || m_faults.cutClients.count(client) > 0;
}

bool LogCore::takeAppendPermit(TimePoint now)
{
    const double limit = m_limits.appendsPerSecond;
    const double earned = secondsOf(now - m_permitsAt) * limit;
    m_permits = std::min(limit, m_permits + std::max(0.0, earned));
    m_permitsAt = now;
    if (m_permits < 1) {
        return false;
    }
    m_permits -= 1;
    return true;
}

void LogCore::forgetOld(Stream &stream, TimePoint now) const
{
    const auto isForgotten = [&] {
        const bool isTooMany = stream.records.size() > m_limits.keptRecords;
        return isTooMany || now - stream.records.front().time > m_limits.keptFor;
    };
    while (!stream.records.empty() && isForgotten()) {
        stream.records.pop_front();
        ++stream.first;
    }
}

LogPage LogCore::makePage(const Stream &stream, LogOffset from, std::uint32_t maxRecords,
                          TimePoint now) const
{
    std::size_t visible = stream.records.size();
    while (visible > 0 && m_faults.staleness > Duration::zero()
           && now - stream.records[visible - 1].time < m_faults.staleness) {
        --visible;
    }
    LogPage page;
    page.first = LogOffset(stream.first);
    page.end = LogOffset(stream.first + visible);
    std::size_t bytes = 0;
    const std::uint64_t start = std::max(from.value(), stream.first);
    for (std::uint64_t offset = start; offset < page.end.value(); ++offset) {
        const std::string &payload = stream.records[offset - stream.first].payload;
        bytes += payload.size();
        if (page.records.size() == maxRecords
            || (bytes > m_limits.pageBytes && !page.records.empty())) {
            break;
        }
        page.records.push_back({ LogOffset(offset), payload });
    }
    return page;
}

} // namespace ivyspar::lab
