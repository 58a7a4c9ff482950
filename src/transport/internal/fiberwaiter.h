#pragma once

#include <utility>

#include <boost/fiber/context.hpp>

namespace ivyspar {

/// Suspends one fiber until a callback or another fiber of the same thread wakes it.
class FiberWaiter
{
public:
    bool isWaiting() const { return m_waiter != nullptr; }

    void wait()
    {
        m_waiter = boost::fibers::context::active();
        m_waiter->suspend();
    }

    void wake()
    {
        if (auto *waiter = std::exchange(m_waiter, nullptr)) {
            boost::fibers::context::active()->schedule(waiter);
        }
    }

private:
    boost::fibers::context *m_waiter = nullptr;
};

} // namespace ivyspar
