#pragma once

#include <functional>
#include <memory>

#include "transport/ieventloop.h"
#include "transport/oneshot.h"

namespace ivyspar {

/// A fiber that works in the background until it is stopped.
class BackgroundFiber
{
public:
    explicit BackgroundFiber(IEventLoop &loop);

    /// `body` runs once, in a fiber, and is to return soon after `isStopped` becomes true.
    void start(std::function<void()> body);
    /// Suspends the background fiber; `wake` and `stop` end it early.
    void pause(Duration duration);
    void wake();
    /// `cancel` ends what the body waits for besides `pause`. Suspends the calling fiber until the
    /// body has returned, before destruction and once started.
    void stop(const std::function<void()> &cancel);
    bool isStopped() const { return m_isStopped; }

private:
    IEventLoop &m_loop;
    bool m_isRunning = false;
    bool m_isStopped = false;
    std::unique_ptr<OneShot<bool>> m_pause;
    std::unique_ptr<OneShot<bool>> m_ended;
};

} // namespace ivyspar
