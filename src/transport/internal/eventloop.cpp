#include "transport/internal/eventloop.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "transport/internal/fiberwaiter.h"
#include "transport/transportfactory.h"

namespace ivyspar {

namespace {

/// Concurrency hint for asio: one thread runs the loop; posting from others remains safe.
constexpr int SINGLE_THREAD_HINT = 1;
constexpr Duration MAX_TIMER_DELAY = std::chrono::hours(24 * 365);
constexpr int MAX_SHUTDOWN_ROUNDS = 1000;

/// Ends the fibers of the loop at thread exit. Boost.Fiber waits there until all fibers of the
/// thread have ended; a fiber that sleeps for an hour would block the join of the thread for as
/// long. Boost.Fiber's own thread-local object is created before this one and so is destroyed after
/// it.
class ThreadExitHook
{
public:
    ThreadExitHook() = default;
    ~ThreadExitHook()
    {
        if (m_loop != nullptr) {
            m_loop->endFibers();
        }
    }
    ThreadExitHook(const ThreadExitHook &) = delete;
    ThreadExitHook &operator=(const ThreadExitHook &) = delete;

    void bind(EventLoop *loop) { m_loop = loop; }
    void unbind(const EventLoop *loop)
    {
        if (m_loop == loop) {
            m_loop = nullptr;
        }
    }

private:
    EventLoop *m_loop = nullptr;
};

// NOLINTNEXTLINE(readability-identifier-naming): a variable, though clang-tidy takes it for a
// constant.
thread_local ThreadExitHook threadExitHook;

} // namespace

EventLoop::EventLoop()
    : m_io(SINGLE_THREAD_HINT)
    , m_work(boost::asio::make_work_guard(m_io))
    , m_timer(m_io)
    , m_scheduler(new FiberScheduler(this))
    , m_stacks(new StackPool)
{
}

EventLoop::~EventLoop()
{
    if (m_thread == std::this_thread::get_id()) {
        endFibers();
        threadExitHook.unbind(this);
    }
    m_scheduler->detachLoop();
}

/// Installs the scheduling algorithm on first use, so that a loop can be created on one thread and
/// run on another.
void EventLoop::bindToThread()
{
    if (m_thread == std::this_thread::get_id()) {
        return;
    }
    if (m_thread != std::thread::id()) {
        std::fputs("ivyspar: event loop used on more than one thread\n", stderr);
        std::abort();
    }
    m_thread = std::this_thread::get_id();
    boost::fibers::context::active()->get_scheduler()->set_algo(m_scheduler);
    threadExitHook.bind(this);
}

void EventLoop::spawn(std::function<void()> task)
{
    bindToThread();
    ++m_fiberCount;
    auto body = [this, task = std::move(task)]() mutable {
        runGuarded(task);
        task = {};
        --m_fiberCount;
    };
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, PooledStack(m_stacks),
                         std::move(body))
        .detach();
}

void EventLoop::post(std::function<void()> task)
{
    boost::asio::post(m_io, [this, task = std::move(task)] { runGuarded(task); });
}

void EventLoop::sleepFor(Duration duration)
{
    bindToThread();
    FiberWaiter waiter;
    callLater(duration, [&waiter] { waiter.wake(); });
    waiter.wait();
}

TimePoint EventLoop::now() const
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceEpoch));
}

TimerId EventLoop::callLater(Duration delay, std::function<void()> task)
{
    const Duration bounded = std::clamp(delay, Duration::zero(), MAX_TIMER_DELAY);
    const TimerId id = m_timers.add(now() + bounded, std::move(task));
    armTimer();
    return id;
}

void EventLoop::cancelTimer(TimerId id)
{
    m_timers.cancel(id);
}

bool EventLoop::runGuarded(const std::function<void()> &task)
{
    try {
        task();
        return true;
    } catch (const std::exception &error) {
        reportFailure(error);
        return false;
    }
}

void EventLoop::setFailureHandler(std::function<void(const std::string &)> handler)
{
    m_failureHandler = std::move(handler);
}

void EventLoop::reportFailure(const std::exception &error) const
{
    if (m_failureHandler) {
        m_failureHandler(error.what());
        return;
    }
    std::fprintf(stderr, "ivyspar: uncaught exception in a task: %s\n", error.what());
}

void EventLoop::armTimer()
{
    const TimePoint next = m_timers.nextTime();
    if (next >= m_armedFor) {
        return;
    }
    m_armedFor = next;
    m_timer.expires_at(std::chrono::steady_clock::time_point(next.time_since_epoch()));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            onTimer();
        }
    });
}

void EventLoop::onTimer()
{
    m_armedFor = TimePoint::max();
    const TimePoint time = now();
    while (const auto task = m_timers.takeDue(time)) {
        runGuarded(task);
    }
    armTimer();
}

void EventLoop::run()
{
    bindToThread();
    m_isStopped = false;
    while (!m_isStopped) {
        runOnce();
    }
}

void EventLoop::stop()
{
    boost::asio::post(m_io, [this] { m_isStopped = true; });
}

/// Runs each ready fiber once, then one event. Events are thus processed even while fibers keep
/// making each other ready.
void EventLoop::runOnce()
{
    ++m_turnCount;
    if (m_scheduler->readyCount() > 0) {
        boost::this_fiber::yield();
    }
    runEvent(m_scheduler->readyCount() == 0);
}

void EventLoop::runEvent(bool isBlocking)
{
    try {
        if (isBlocking) {
            m_io.run_one();
        } else {
            m_io.poll_one();
        }
    } catch (const std::exception &error) {
        reportFailure(error);
    }
}

void EventLoop::waitForEvent(std::chrono::steady_clock::time_point time) noexcept
{
    try {
        if (time == std::chrono::steady_clock::time_point::max()) {
            m_io.run_one();
        } else {
            m_io.run_one_until(time);
        }
    } catch (const std::exception &error) {
        reportFailure(error);
    }
}

void EventLoop::endFibers()
{
    for (int round = 0; round < MAX_SHUTDOWN_ROUNDS && m_fiberCount > 0; ++round) {
        if (const auto task = m_timers.takeDue(TimePoint::max())) {
            runGuarded(task);
        }
        boost::this_fiber::yield();
        m_io.poll();
    }
}

std::unique_ptr<IEventLoop> makeEventLoop()
{
    return std::make_unique<EventLoop>();
}

} // namespace ivyspar
