#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

using TimerId = StrongType<std::uint64_t, struct TimerIdTag>;

/// One thread's event loop: fibers on one io_context. Except for `post` and `stop`, all functions
/// are called on the loop's own thread. A fiber stays on its thread.
class IEventLoop
{
public:
    virtual ~IEventLoop() = default;

    /// Starts a fiber.
    virtual void spawn(std::function<void()> task) = 0;
    /// Thread-safe. Runs `task` as a plain callback on the loop's thread. It must not suspend.
    virtual void post(std::function<void()> task) = 0;
    /// Suspends the calling fiber.
    virtual void sleepFor(Duration duration) = 0;
    /// Monotonic time.
    virtual TimePoint now() const = 0;
    /// Runs `task` as a plain callback after `delay`. It must not suspend.
    virtual TimerId callLater(Duration delay, std::function<void()> task) = 0;
    virtual void cancelTimer(TimerId id) = 0;

    /// Runs `task` on the caller's stack. An exception that escapes is a bug in that task: it is
    /// reported, the other tasks of the loop continue, and false is returned.
    virtual bool runGuarded(const std::function<void()> &task) = 0;
    /// Receives the texts of such exceptions instead of standard error. To be set before `run`.
    virtual void setFailureHandler(std::function<void(const std::string &)> handler) = 0;

    /// Runs until `stop`.
    virtual void run() = 0;
    /// Thread-safe.
    virtual void stop() = 0;
    /// Ends the fibers that still wait, by firing their timers early. To be called after `run`,
    /// while all that the fibers use still exists.
    virtual void endFibers() = 0;
};

} // namespace ivyspar
