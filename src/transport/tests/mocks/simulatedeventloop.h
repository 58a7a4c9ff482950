#pragma once

#include <string>
#include <utility>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "transport/ieventloop.h"
#include "transport/internal/fiberscheduler.h"
#include "transport/internal/fiberwaiter.h"
#include "transport/internal/timerqueue.h"
#include "transport/tests/mocks/taskfailures.h"

namespace ivyspar {

/// Fibers and timers with a simulated clock, which advances only while nothing is ready to run: a
/// run is deterministic and independent of the machine's load. Bound to one thread; all fibers must
/// end before it is destroyed.
class SimulatedEventLoop : public IEventLoop
{
public:
    SimulatedEventLoop()
        : m_scheduler(new FiberScheduler(nullptr))
    {
        boost::fibers::context::active()->get_scheduler()->set_algo(m_scheduler);
    }
    SimulatedEventLoop(const SimulatedEventLoop &) = delete;
    SimulatedEventLoop &operator=(const SimulatedEventLoop &) = delete;

    void spawn(std::function<void()> task) override
    {
        boost::fibers::fiber(boost::fibers::launch::post, std::move(task)).detach();
    }
    void post(std::function<void()> task) override { callLater(Duration::zero(), std::move(task)); }
    void sleepFor(Duration duration) override
    {
        FiberWaiter waiter;
        callLater(duration, [&waiter] { waiter.wake(); });
        waiter.wait();
    }
    TimePoint now() const override { return m_now; }
    TimerId callLater(Duration delay, std::function<void()> task) override
    {
        return m_timers.add(m_now + std::max(delay, Duration::zero()), std::move(task));
    }
    void cancelTimer(TimerId id) override { m_timers.cancel(id); }
    bool runGuarded(const std::function<void()> &task) override
    {
        return failures.runGuarded(task);
    }
    void setFailureHandler(std::function<void(const std::string &)> /*handler*/) override { }
    void run() override { }
    void stop() override { }
    void endFibers() override { }

    TaskFailures failures;

    void runFor(Duration duration)
    {
        const TimePoint end = m_now + duration;
        runReadyFibers();
        while (m_timers.nextTime() <= end) {
            m_now = std::max(m_now, m_timers.nextTime());
            if (const TimerQueue::Task task = m_timers.takeDue(m_now)) {
                task();
            }
            runReadyFibers();
        }
        m_now = end;
    }

    /// Runs `task` in a fiber until it ends; false if it does not end within `limit`.
    bool runToEnd(std::function<void()> task, Duration limit)
    {
        constexpr Duration STEP = std::chrono::milliseconds(10);
        bool isDone = false;
        spawn([&isDone, task = std::move(task)] {
            task();
            isDone = true;
        });
        for (Duration waited{ 0 }; !isDone && waited < limit; waited += STEP) {
            runFor(STEP);
        }
        return isDone;
    }

private:
    void runReadyFibers()
    {
        while (m_scheduler->readyCount() > 0) {
            boost::this_fiber::yield();
        }
    }

    boost::intrusive_ptr<FiberScheduler> m_scheduler;
    TimerQueue m_timers;
    TimePoint m_now{ std::chrono::seconds(100) };
};

} // namespace ivyspar
