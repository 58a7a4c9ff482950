#pragma once

#include <memory>

#include "state/imetrics.h"
#include "transport/ikeyedlog.h"

namespace ivyspar {

/// Counts what a daemon asks of the platform's log, which is shared by all.
class CountedLog : public IKeyedLog
{
public:
    CountedLog(std::unique_ptr<IKeyedLog> log, IMetrics &metrics);

    RetVal<KeyedPage> newest(const StreamName &stream) override;
    RetVal<KeyedPage> read(const StreamName &stream, LogOffset from, Duration wait) override;
    Ret put(const StreamName &stream, const KeyedRecord &record) override;
    void cancel() override { m_log->cancel(); }

private:
    RetVal<KeyedPage> count(RetVal<KeyedPage> page);

    std::unique_ptr<IKeyedLog> m_log;
    IMetrics &m_metrics;
};

} // namespace ivyspar
