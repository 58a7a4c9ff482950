#include "app/internal/control/backgroundfiber.h"

#include <utility>

namespace ivyspar {

namespace {

/// Far longer than a body takes to return from a cancelled call.
constexpr Duration STOP_TIMEOUT = std::chrono::seconds(3);
/// Pause before a body that an exception has ended runs again.
constexpr Duration RESTART_PAUSE = std::chrono::milliseconds(500);

} // namespace

BackgroundFiber::BackgroundFiber(IEventLoop &loop)
    : m_loop(loop)
{
}

void BackgroundFiber::start(std::function<void()> body)
{
    m_isRunning = true;
    m_loop.spawn([this, body = std::move(body)] {
        runUntilStopped(body);
        m_isRunning = false;
        if (m_ended) {
            m_ended->set(true);
        }
    });
}

void BackgroundFiber::runUntilStopped(const std::function<void()> &body)
{
    while (!m_loop.runGuarded(body) && !m_isStopped) {
        pause(RESTART_PAUSE);
    }
}

void BackgroundFiber::pause(Duration duration)
{
    if (m_isStopped) {
        return;
    }
    m_pause = std::make_unique<OneShot<bool>>(m_loop);
    m_pause->wait(duration);
}

void BackgroundFiber::wake()
{
    if (m_pause) {
        m_pause->set(true);
    }
}

void BackgroundFiber::stop(const std::function<void()> &cancel)
{
    m_isStopped = true;
    if (!m_isRunning) {
        return;
    }
    m_ended = std::make_unique<OneShot<bool>>(m_loop);
    wake();
    cancel();
    m_ended->wait(STOP_TIMEOUT);
}

} // namespace ivyspar
