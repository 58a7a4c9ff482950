#include "app/internal/control/countedlog.h"

#include <utility>

namespace ivyspar {

CountedLog::CountedLog(std::unique_ptr<IKeyedLog> log, IMetrics &metrics)
    : m_log(std::move(log))
    , m_metrics(metrics)
{
}

RetVal<KeyedPage> CountedLog::newest(const StreamName &stream)
{
    return count(m_log->newest(stream));
}

RetVal<KeyedPage> CountedLog::read(const StreamName &stream, LogOffset from, Duration wait)
{
    return count(m_log->read(stream, from, wait));
}

Ret CountedLog::put(const StreamName &stream, const KeyedRecord &record)
{
    Ret written = m_log->put(stream, record);
    m_metrics.add(written ? Counter::LogAppends : Counter::LogAppendFailures);
    return written;
}

RetVal<KeyedPage> CountedLog::count(RetVal<KeyedPage> page)
{
    m_metrics.add(page ? Counter::LogReads : Counter::LogReadFailures);
    return page;
}

} // namespace ivyspar
