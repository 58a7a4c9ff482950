#pragma once

#include <deque>

#include "coordination/configuration/iconfigurationstatemachine.h"

namespace ivyspar {

class ConfigurationStateMachine : public IConfigurationStateMachine
{
public:
    ConfigurationStateMachine();

    ApplyResult apply(LogOffset offset, const ConfigurationRecord &record) override;
    void truncateBefore(LogOffset first) override;
    void skip(LogOffset offset) override;
    bool adopt(const AcceptedConfiguration &accepted) override;
    std::vector<DeferredResult> takeDeferredResults() override;

    const AcceptedConfiguration *current() const override;
    const AcceptedConfiguration *logState() const override;
    LogOffset nextOffset() const override { return m_next; }
    LogOffset anchor() const override { return m_anchor; }

private:
    struct PendingRecord
    {
        LogOffset offset;
        ConfigurationRecord record;
    };

    bool advanceTo(LogOffset offset);
    void discardHistory(LogOffset start);
    void deferChange(LogOffset offset, const ConfigurationRecord &record);
    ApplyResult applyChange(LogOffset offset, const ConfigurationRecord &record);
    ApplyResult applySnapshot(LogOffset offset, const ConfigurationRecord &record);
    ApplyResult applyRestart(LogOffset offset, const ConfigurationRecord &record);
    void resumeAt(const AcceptedConfiguration &at, LogOffset position);
    void updateNewest(const AcceptedConfiguration &accepted);

    /// State just before `m_next`. Valid only if `m_isLogStateKnown`.
    AcceptedConfiguration m_logState;
    bool m_isLogStateKnown = true;
    /// While the log state is unknown: records from this offset on were read without a gap.
    LogOffset m_readSince;
    LogOffset m_next;
    LogOffset m_anchor;
    /// Changes read while the log state is unknown, applied once a checkpoint is found.
    std::deque<PendingRecord> m_pending;
    std::size_t m_pendingBytes = 0;
    std::vector<DeferredResult> m_deferredResults;
    AcceptedConfiguration m_newest;
};

} // namespace ivyspar
