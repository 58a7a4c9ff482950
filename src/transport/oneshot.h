#pragma once

#include <memory>
#include <optional>
#include <utility>

#include <boost/fiber/context.hpp>
#include <boost/fiber/operations.hpp>

#include "transport/ieventloop.h"

namespace ivyspar {

/// A value that is set once and that one fiber of the same thread waits for. Not thread-safe.
template <typename T> class OneShot
{
public:
    explicit OneShot(IEventLoop &loop)
        : m_loop(loop)
    {
    }

    OneShot(const OneShot &) = delete;
    OneShot &operator=(const OneShot &) = delete;

    /// Ignored if a value is already set. May be called from a plain callback of the loop.
    void set(T value)
    {
        if (m_value) {
            return;
        }
        m_value = std::move(value);
        wake();
    }

    bool isSet() const { return m_value.has_value(); }

    /// Takes the value, suspending until it is set; `nullopt` if `timeout` passes first.
    std::optional<T> wait(Duration timeout)
    {
        if (!m_value && timeout > Duration::zero()) {
            m_waiter = boost::fibers::context::active();
            const TimerId timer = m_loop.callLater(timeout, [this] { wake(); });
            m_waiter->suspend();
            m_loop.cancelTimer(timer);
        }
        return std::exchange(m_value, std::nullopt);
    }

private:
    void wake()
    {
        if (auto *waiter = std::exchange(m_waiter, nullptr)) {
            boost::fibers::context::active()->schedule(waiter);
        }
    }

    IEventLoop &m_loop;
    std::optional<T> m_value;
    boost::fibers::context *m_waiter = nullptr;
};

} // namespace ivyspar
