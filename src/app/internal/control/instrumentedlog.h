#pragma once

#include <memory>

#include "state/imetrics.h"
#include "transport/ieventloop.h"
#include "transport/ikeyedlog.h"

namespace ivyspar {

/// Counts and times this daemon's calls of the platform's log, which all daemons share.
class InstrumentedLog : public IKeyedLog
{
public:
    InstrumentedLog(std::unique_ptr<IKeyedLog> log, const IEventLoop &loop, IMetrics &metrics);

    RetVal<KeyedPage> newest(const StreamName &stream) override;
    RetVal<KeyedPage> read(const StreamName &stream, LogOffset from, Duration wait) override;
    Ret put(const StreamName &stream, const std::vector<KeyedRecord> &records) override;
    void cancel() override { m_log->cancel(); }

private:
    RetVal<KeyedPage> recordRead(TimePoint startedAt, RetVal<KeyedPage> page);
    Duration elapsedSince(TimePoint time) const;

    std::unique_ptr<IKeyedLog> m_log;
    const IEventLoop &m_loop;
    IMetrics &m_metrics;
};

} // namespace ivyspar
