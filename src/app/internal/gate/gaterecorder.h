#pragma once

#include <cstdint>

#include "app/internal/gate/announcement.h"
#include "app/internal/logs/observers.h"
#include "protocol/messages.h"
#include "state/ids.h"
#include "state/load.h"
#include "state/outcome.h"
#include "state/time.h"

namespace ivyspar {

/// A call at its gate, as the log describes it.
struct GatedCall
{
    const CallMessage &message;
    Duration waited{ 0 };
    Duration left{ 0 };
    LoadReport load;
};

/// Writes what a gate decides to the decision log. Traffic thread only.
class GateRecorder
{
public:
    explicit GateRecorder(Observers observers)
        : m_observers(observers)
    {
    }

    /// Whether nothing need be worked out that is only said in such a line.
    bool wouldDrop(DecisionKind kind, Importance importance, RootId root)
    {
        return m_observers.decisions.wouldDrop(kind, importance, root);
    }
    void recordAdmitted(const GatedCall &call);
    void recordRefused(const GatedCall &call, Reason reason);
    /// A run of that server ended; `status` counts if it was answered.
    void recordRun(const CallMessage &message, const UpstreamId &instance, const Verdict &verdict,
                   std::uint16_t status, Duration served);
    /// The server has ended without a word.
    void recordCrash(const Announcement &server);

private:
    void recordState(Decision decision, const GatedCall &call);

    Observers m_observers;
};

} // namespace ivyspar
