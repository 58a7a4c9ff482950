#include "app/internal/control/countedlog.h"

#include <utility>

namespace ivyspar {

CountedLog::CountedLog(std::unique_ptr<IKeyedLog> log, const IEventLoop &loop, IMetrics &metrics)
    : m_log(std::move(log))
    , m_loop(loop)
    , m_metrics(metrics)
{
}

RetVal<KeyedPage> CountedLog::newest(const StreamName &stream)
{
    const TimePoint startedAt = m_loop.now();
    return count(startedAt, m_log->newest(stream));
}

RetVal<KeyedPage> CountedLog::read(const StreamName &stream, LogOffset from, Duration wait)
{
    const TimePoint startedAt = m_loop.now();
    return count(startedAt, m_log->read(stream, from, wait));
}

Ret CountedLog::put(const StreamName &stream, const KeyedRecord &record)
{
    const TimePoint startedAt = m_loop.now();
    Ret written = m_log->put(stream, record);
    m_metrics.observe(Timing::LogAppend, since(startedAt));
    m_metrics.add(written ? Counter::LogAppends : Counter::LogAppendFailures);
    return written;
}

RetVal<KeyedPage> CountedLog::count(TimePoint startedAt, RetVal<KeyedPage> page)
{
    m_metrics.observe(Timing::LogRead, since(startedAt));
    m_metrics.add(page ? Counter::LogReads : Counter::LogReadFailures);
    return page;
}

Duration CountedLog::since(TimePoint time) const
{
    return std::chrono::duration_cast<Duration>(m_loop.now() - time);
}

} // namespace ivyspar
