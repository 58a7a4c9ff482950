#pragma once

#include <vector>

#include "state/idecisionlog.h"

namespace ivyspar {

/// Records decisions for inspection by tests.
class RecordingDecisionLog : public IDecisionLog
{
public:
    bool isEnabled() const override { return true; }
    bool wouldDrop(DecisionKind /*kind*/, Importance /*importance*/, RootId /*root*/) override
    {
        return false;
    }
    void write(Decision decision) override { m_decisions.push_back(std::move(decision)); }
    const std::vector<Decision> &decisions() const { return m_decisions; }

private:
    std::vector<Decision> m_decisions;
};

} // namespace ivyspar
