#pragma once

#include <cstddef>

#include "app/internal/logs/logline.h"
#include "state/idecisionlog.h"
#include "state/time.h"

namespace ivyspar {

struct LogBudgetOptions
{
    /// Lines in each second, of which routine lines may take the second number. A line costs some
    /// 20 µs of a processor, so that these take 1 % of one.
    std::size_t lines = 500;
    std::size_t routineLines = 100;
};

/// Bounds the lines of a log in each second, and spends them on what goes wrong first. Plain
/// object.
///
/// Of routine lines that do not fit, those of some requests are kept whole: which ones follows from
/// the request's id, so all daemons keep the same requests and one of them can be followed.
class LogBudget
{
public:
    explicit LogBudget(const LogBudgetOptions &options);

    /// Whether the line may be written.
    bool take(TimePoint now, const Decision &decision);
    /// Whether such a line would not be taken; it is then counted as left out.
    bool wouldDrop(TimePoint now, DecisionKind kind, Importance importance, RootId root);
    /// The lines that were left out since the last call; empty within the second that goes on.
    SuppressedCounts takeSuppressed(TimePoint now);

private:
    void startSecond(TimePoint now);
    /// A line was left out.
    void countSuppressed(DecisionKind kind, Importance importance);
    bool hasRoom(Importance importance, RootId root) const;

    LogBudgetOptions m_options;
    TimePoint m_secondEnd;
    std::size_t m_taken = 0;
    std::size_t m_routineTaken = 0;
    std::size_t m_routineSeen = 0;
    /// Of requests, the share whose routine lines are kept in this second.
    double m_share = 1;
    SuppressedCounts m_suppressed;
    SuppressedCounts m_finished;
};

} // namespace ivyspar
