#pragma once

#include <functional>
#include <future>
#include <memory>
#include <thread>

#include "transport/transportfactory.h"

namespace ivyspar {

/// Runs an event loop on a thread of its own, for tests that talk to it with blocking sockets.
class LoopRunner
{
public:
    LoopRunner()
        : m_loop(makeEventLoop())
        , m_thread([this] { m_loop->run(); })
    {
    }

    ~LoopRunner()
    {
        m_loop->stop();
        m_thread.join();
    }

    LoopRunner(const LoopRunner &) = delete;
    LoopRunner &operator=(const LoopRunner &) = delete;

    IEventLoop &loop() { return *m_loop; }

    /// Starts `task` in a fiber of the loop.
    std::future<void> start(std::function<void()> task)
    {
        auto done = std::make_shared<std::promise<void>>();
        auto future = done->get_future();
        m_loop->post([this, task = std::move(task), done] {
            m_loop->spawn([task, done] {
                task();
                done->set_value();
            });
        });
        return future;
    }

    /// Runs `task` in a fiber of the loop and blocks until it ends.
    void run(std::function<void()> task) { start(std::move(task)).wait(); }

    /// Polls `condition` on the loop's thread for about five seconds at most. The result is to be
    /// checked on the test's own thread: a failed check on another thread ends the whole test run.
    bool reaches(const std::function<bool()> &condition)
    {
        constexpr int TRIES = 5000;
        bool isReached = false;
        run([&] {
            for (int i = 0; i < TRIES && !(isReached = condition()); ++i) {
                m_loop->sleepFor(std::chrono::milliseconds(1));
            }
        });
        return isReached;
    }

private:
    std::unique_ptr<IEventLoop> m_loop;
    std::thread m_thread;
};

} // namespace ivyspar
