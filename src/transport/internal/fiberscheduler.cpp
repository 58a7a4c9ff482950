#include "transport/internal/fiberscheduler.h"

#include <cstdio>
#include <cstdlib>

#include "transport/internal/eventloop.h"

namespace ivyspar {

namespace {

std::size_t countOf(const boost::fibers::context &fiber)
{
    return fiber.is_context(boost::fibers::type::dispatcher_context) ? 0 : 1;
}

} // namespace

void FiberScheduler::awakened(boost::fibers::context *fiber) noexcept
{
    m_readyCount += countOf(*fiber);
    m_queue.push_back(*fiber);
}

boost::fibers::context *FiberScheduler::pick_next() noexcept
{
    if (m_queue.empty()) {
        return nullptr;
    }
    boost::fibers::context *fiber = &m_queue.front();
    m_queue.pop_front();
    m_readyCount -= countOf(*fiber);
    return fiber;
}

/// Called only while the thread's main fiber is suspended. That happens outside of EventLoop::run:
/// when it waits before or after the run, or at thread exit.
void FiberScheduler::suspend_until(const std::chrono::steady_clock::time_point &time) noexcept
{
    if (m_loop == nullptr) {
        std::fputs("ivyspar: a fiber was still waiting when its event loop was destroyed\n",
                   stderr);
        std::abort();
    }
    m_loop->waitForEvent(time);
}

/// Called when another thread wakes a fiber of this one. This code base uses IEventLoop::post
/// instead.
void FiberScheduler::notify() noexcept
{
    if (m_loop != nullptr) {
        m_loop->post([] {});
    }
}

} // namespace ivyspar
