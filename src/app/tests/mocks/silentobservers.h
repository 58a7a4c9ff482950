#pragma once

#include <memory>

#include "app/internal/logs/observers.h"
#include "state/metricsfactory.h"

namespace ivyspar {

/// Observers that discard all log lines; the metrics are real.
class SilentObservers
{
public:
    Observers observers() { return Observers{ m_log, m_decisions, *m_metrics }; }
    IMetrics &metrics() { return *m_metrics; }

private:
    class Log : public ILog
    {
    public:
        void write(LogLevel /*level*/, std::string /*text*/) override { }
    };

    class Decisions : public IDecisionLog
    {
    public:
        bool isEnabled() const override { return false; }
        bool wouldDrop(DecisionKind /*kind*/, Importance /*importance*/, RootId /*root*/) override
        {
            return true;
        }
        void write(Decision /*decision*/) override { }
    };

    Log m_log;
    Decisions m_decisions;
    std::unique_ptr<IMetrics> m_metrics = makeMetrics();
};

} // namespace ivyspar
