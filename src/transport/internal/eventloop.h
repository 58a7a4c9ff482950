#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <functional>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "transport/ieventloop.h"
#include "transport/internal/fiberscheduler.h"
#include "transport/internal/stackpool.h"
#include "transport/internal/timerqueue.h"

namespace ivyspar {

/// Runs the ready fibers of a thread; when none is ready, blocks in the io_context until an event
/// wakes one. There is no polling: an idle loop uses no CPU time.
///
/// Callbacks of the io_context run on the stack of the thread's main fiber and must not suspend.
class EventLoop : public IEventLoop
{
public:
    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    void spawn(std::function<void()> task) override;
    void post(std::function<void()> task) override;
    void sleepFor(Duration duration) override;
    TimePoint now() const override;
    TimerId callLater(Duration delay, std::function<void()> task) override;
    void cancelTimer(TimerId id) override;
    bool runGuarded(const std::function<void()> &task) override;
    void setFailureHandler(std::function<void(const std::string &)> handler) override;
    void run() override;
    void stop() override;
    void endFibers() override;

    boost::asio::io_context &ioContext() { return m_io; }
    /// Iterations of `run`: each ran the ready fibers and waited for one event.
    std::uint64_t turnCount() const { return m_turnCount; }
    /// For FiberScheduler: runs one event, waiting for it until `time` at most.
    void waitForEvent(std::chrono::steady_clock::time_point time) noexcept;

private:
    void bindToThread();
    void runOnce();
    void runEvent(bool isBlocking);
    void reportFailure(const std::exception &error) const;
    void armTimer();
    void onTimer();

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_timer;
    /// When `m_timer` fires. Not updated when the first task is cancelled: a spurious wake-up costs
    /// less than a system call for each cancelled timeout.
    TimePoint m_armedFor = TimePoint::max();
    TimerQueue m_timers;
    boost::intrusive_ptr<FiberScheduler> m_scheduler;
    boost::intrusive_ptr<StackPool> m_stacks;
    std::thread::id m_thread;
    std::function<void(const std::string &)> m_failureHandler;
    std::size_t m_fiberCount = 0;
    std::uint64_t m_turnCount = 0;
    bool m_isStopped = false;
};

} // namespace ivyspar
