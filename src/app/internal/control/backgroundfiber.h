#pragma once

#include <functional>
#include <memory>

#include "transport/ieventloop.h"
#include "transport/oneshot.h"

namespace ivyspar {

/// A background fiber that runs until it is stopped.
class BackgroundFiber
{
public:
    explicit BackgroundFiber(IEventLoop &loop);

    /// Runs `body` in a fiber, again after a pause if an exception has ended it. It must return
    /// soon after `isStopped` becomes true.
    void start(std::function<void()> body);
    /// Suspends the background fiber; `wake` and `stop` end the pause early. Call it from the body.
    void pause(Duration duration);
    void wake();
    /// Suspends the calling fiber until the body has returned, or for 3 s at most. `cancel` ends
    /// whatever the body waits for besides `pause`. Required before destruction once started.
    void stop(const std::function<void()> &cancel);
    bool isStopped() const { return m_isStopped; }

private:
    void runUntilStopped(const std::function<void()> &body);

    IEventLoop &m_loop;
    bool m_isRunning = false;
    bool m_isStopped = false;
    std::unique_ptr<OneShot<bool>> m_pause;
    std::unique_ptr<OneShot<bool>> m_ended;
};

} // namespace ivyspar
