#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "transport/ieventloop.h"
#include "transport/tests/mocks/taskfailures.h"

namespace ivyspar {

/// Runs each task immediately on the caller's stack, with a clock controlled by the test. For code
/// whose tasks do not suspend.
class InlineEventLoop : public IEventLoop
{
public:
    void spawn(std::function<void()> task) override { task(); }
    void post(std::function<void()> task) override { task(); }
    void sleepFor(Duration duration) override { advance(duration); }
    TimePoint now() const override { return m_now; }

    TimerId callLater(Duration delay, std::function<void()> task) override
    {
        const TimerId id(++m_lastTimer);
        m_timers.emplace(id, std::make_pair(m_now + delay, std::move(task)));
        return id;
    }

    void cancelTimer(TimerId id) override { m_timers.erase(id); }
    bool runGuarded(const std::function<void()> &task) override
    {
        return failures.runGuarded(task);
    }
    void setFailureHandler(std::function<void(const std::string &)> /*handler*/) override { }
    void run() override { }
    void stop() override { }
    void endFibers() override { }

    /// Advances the clock and runs the due timers in order of time.
    void advance(Duration duration)
    {
        const TimePoint end = m_now + duration;
        for (auto next = findNext(end); next != m_timers.end(); next = findNext(end)) {
            m_now = std::max(m_now, next->second.first);
            const std::function<void()> task = std::move(next->second.second);
            m_timers.erase(next);
            task();
        }
        m_now = end;
    }

    TaskFailures failures;

private:
    using Timers = std::map<TimerId, std::pair<TimePoint, std::function<void()>>>;

    Timers::iterator findNext(TimePoint end)
    {
        auto best = m_timers.end();
        for (auto it = m_timers.begin(); it != m_timers.end(); ++it) {
            const bool isDue = it->second.first <= end;
            if (isDue && (best == m_timers.end() || it->second.first < best->second.first)) {
                best = it;
            }
        }
        return best;
    }

    TimePoint m_now{ std::chrono::seconds(100) };
    std::uint64_t m_lastTimer = 0;
    Timers m_timers;
};

} // namespace ivyspar
