#pragma once

#include <chrono>
#include <cstddef>

#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace ivyspar {

class EventLoop;

/// Round-robin scheduler that counts the ready fibers.
///
/// Boost.Fiber also queues its dispatcher fiber as ready each time another fiber runs. `readyCount`
/// excludes it: otherwise the loop would find a ready fiber in every iteration, never block, and
/// use a whole core while idle.
class FiberScheduler : public boost::fibers::algo::algorithm
{
public:
    explicit FiberScheduler(EventLoop *loop)
        : m_loop(loop)
    {
    }

    std::size_t readyCount() const { return m_readyCount; }
    /// The loop is about to be destroyed.
    void detachLoop() { m_loop = nullptr; }

    void awakened(boost::fibers::context *fiber) noexcept override;
    boost::fibers::context *pick_next() noexcept override;
    bool has_ready_fibers() const noexcept override { return !m_queue.empty(); }
    void suspend_until(const std::chrono::steady_clock::time_point &time) noexcept override;
    void notify() noexcept override;

private:
    EventLoop *m_loop;
    boost::fibers::scheduler::ready_queue_type m_queue;
    std::size_t m_readyCount = 0;
};

} // namespace ivyspar
