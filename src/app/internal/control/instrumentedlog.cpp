#include "app/internal/control/instrumentedlog.h"

#include <utility>

namespace ivyspar {

InstrumentedLog::InstrumentedLog(std::unique_ptr<IKeyedLog> log, const IEventLoop &loop,
                                 IMetrics &metrics)
    : m_log(std::move(log))
    , m_loop(loop)
    , m_metrics(metrics)
{
}

RetVal<KeyedPage> InstrumentedLog::newest(const StreamName &stream)
{
    const TimePoint startedAt = m_loop.now();
    return recordRead(startedAt, m_log->newest(stream));
}

RetVal<KeyedPage> InstrumentedLog::read(const StreamName &stream, LogOffset from, Duration wait)
{
    const TimePoint startedAt = m_loop.now();
    return recordRead(startedAt, m_log->read(stream, from, wait));
}

Ret InstrumentedLog::put(const StreamName &stream, const std::vector<KeyedRecord> &records)
{
    const TimePoint startedAt = m_loop.now();
    Ret written = m_log->put(stream, records);
    m_metrics.observe(Timing::LogAppend, elapsedSince(startedAt));
    m_metrics.add(written ? Counter::LogAppends : Counter::LogAppendFailures);
    return written;
}

RetVal<KeyedPage> InstrumentedLog::recordRead(TimePoint startedAt, RetVal<KeyedPage> page)
{
    m_metrics.observe(Timing::LogRead, elapsedSince(startedAt));
    m_metrics.add(page ? Counter::LogReads : Counter::LogReadFailures);
    return page;
}

Duration InstrumentedLog::elapsedSince(TimePoint time) const
{
    return std::chrono::duration_cast<Duration>(m_loop.now() - time);
}

} // namespace ivyspar
