#include "app/internal/logs/logbudget.h"

#include <algorithm>
#include <utility>

#include "state/idvalue.h"

namespace ivyspar {

namespace {

constexpr Duration SECOND = std::chrono::seconds(1);

} // namespace

LogBudget::LogBudget(const LogBudgetOptions &options)
    : m_options(options)
{
}

bool LogBudget::take(TimePoint now, const Decision &decision)
{
    startSecond(now);
    if (!hasRoom(decision.importance, decision.root)) {
        countSuppressed(decision.kind, decision.importance);
        return false;
    }
    const bool isRoutine = decision.importance == Importance::Routine;
    ++m_taken;
    m_routineTaken += isRoutine ? 1 : 0;
    m_routineSeen += isRoutine ? 1 : 0;
    return true;
}

bool LogBudget::wouldDrop(TimePoint now, DecisionKind kind, Importance importance, RootId root)
{
    startSecond(now);
    if (hasRoom(importance, root)) {
        return false;
    }
    countSuppressed(kind, importance);
    return true;
}

void LogBudget::countSuppressed(DecisionKind kind, Importance importance)
{
    m_routineSeen += importance == Importance::Routine ? 1 : 0;
    ++m_suppressed[toText(kind)];
}

bool LogBudget::hasRoom(Importance importance, RootId root) const
{
    if (m_taken >= m_options.lines) {
        return false;
    }
    return importance == Importance::Essential
        || (m_routineTaken < m_options.routineLines && toUnitInterval(root.value()) < m_share);
}

void LogBudget::startSecond(TimePoint now)
{
    if (now < m_secondEnd) {
        return;
    }
    m_secondEnd = now + SECOND;
    const auto room = static_cast<double>(m_options.routineLines);
    m_share = std::min(1.0, room / std::max(1.0, static_cast<double>(m_routineSeen)));
    m_taken = 0;
    m_routineTaken = 0;
    m_routineSeen = 0;
    for (const auto &[event, count] : std::exchange(m_suppressed, {})) {
        m_finished[event] += count;
    }
}

SuppressedCounts LogBudget::takeSuppressed(TimePoint now)
{
    startSecond(now);
    return std::exchange(m_finished, {});
}

} // namespace ivyspar
