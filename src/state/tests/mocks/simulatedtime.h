#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>

#include "state/time.h"

namespace ivyspar {

/// A simulated clock that advances from event to event. Events with the same time run in the order
/// in which they were scheduled.
class SimulatedTime
{
public:
    explicit SimulatedTime(TimePoint start)
        : m_now(start)
    {
    }

    TimePoint now() const { return m_now; }

    /// Times in the past count as now.
    void scheduleAt(TimePoint at, std::function<void()> action)
    {
        m_events.push({ std::max(at, m_now), ++m_order, std::move(action) });
    }

    void schedule(Duration delay, std::function<void()> action)
    {
        scheduleAt(m_now + delay, std::move(action));
    }

    /// Runs the events of this time span; `beforeEach` runs before each of them, at its time.
    void run(Duration time, const std::function<void()> &beforeEach = {})
    {
        const TimePoint end = m_now + time;
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            if (beforeEach) {
                beforeEach();
            }
            event.action();
        }
        m_now = end;
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;

        friend bool operator<(const Event &a, const Event &b)
        {
            return std::tie(a.at, a.order) > std::tie(b.at, b.order);
        }
    };

    TimePoint m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
};

} // namespace ivyspar
