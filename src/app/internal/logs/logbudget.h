#pragma once

#include <cstddef>

#include "app/internal/logs/logline.h"
#include "state/idecisionlog.h"
#include "state/time.h"

namespace ivyspar {

struct LogBudgetOptions
{
    /// Lines per second. A line costs about 20 µs of processor time, so 500 lines take 1 % of one
    /// processor.
    std::size_t lines = 500;
    /// Of these, the lines per second that may be routine.
    std::size_t routineLines = 100;
};

/// Limits the lines of a log per second. Essential lines take precedence over routine lines.
/// Does no I/O and reads no clock.
///
/// If the routine lines do not fit, a sample of requests keeps all of its lines. The sample is
/// derived from the request id, so all daemons keep the same requests and these can be traced.
class LogBudget
{
public:
    explicit LogBudget(const LogBudgetOptions &options);

    /// Returns whether the line may be written; otherwise it is counted as suppressed.
    bool take(TimePoint now, const Decision &decision);
    /// Returns whether such a line would not be written; it is then counted as suppressed.
    bool wouldDrop(TimePoint now, DecisionKind kind, Importance importance, RootId root);
    /// Lines suppressed since the last call, up to the end of the last full second.
    SuppressedCounts takeSuppressed(TimePoint now);

private:
    void startSecond(TimePoint now);
    void countSuppressed(DecisionKind kind, Importance importance);
    bool hasRoom(Importance importance, RootId root) const;

    LogBudgetOptions m_options;
    TimePoint m_secondEnd;
    std::size_t m_taken = 0;
    std::size_t m_routineTaken = 0;
    std::size_t m_routineSeen = 0;
    /// Share of requests whose routine lines are kept in this second, 0 to 1.
    double m_share = 1;
    SuppressedCounts m_suppressed;
    SuppressedCounts m_finished;
};

} // namespace ivyspar
