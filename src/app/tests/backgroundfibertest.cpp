#include <stdexcept>

#include "app/internal/control/backgroundfiber.h"
#include "transport/tests/mocks/simulatedeventloop.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using std::chrono::seconds;

TEST_GROUP(BackgroundFiber)
{
    SimulatedEventLoop m_loop;
    BackgroundFiber m_fiber{ m_loop };
    int m_steps = 0;

    void stop()
    {
        m_loop.spawn([this] { m_fiber.stop([] {}); });
        m_loop.runFor(seconds(10));
    }
};

// Guards against a task that an exception ends for good while the daemon counts as ready.
TEST(BackgroundFiber, ContinuesAfterAnException)
{
    m_fiber.start([this] {
        while (!m_fiber.isStopped()) {
            if (++m_steps == 2) {
                throw std::runtime_error("expected by the test");
            }
            m_fiber.pause(seconds(1));
        }
    });
    m_loop.runFor(seconds(5));
    CHECK(m_steps > 4);
    CHECK_EQUAL(1, m_loop.failures.count());
    stop();
}

TEST(BackgroundFiber, StopsThoughItsBodyFailsEachTime)
{
    m_fiber.start([this] {
        ++m_steps;
        throw std::runtime_error("expected by the test");
    });
    m_loop.runFor(seconds(3));
    CHECK(m_steps > 1);
    stop();
    const int steps = m_steps;
    m_loop.runFor(seconds(5));
    CHECK_EQUAL(steps, m_steps);
}
