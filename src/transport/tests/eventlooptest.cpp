#include <string>
#include <thread>
#include <vector>

#include "transport/internal/eventloop.h"
#include "transport/oneshot.h"
#include "transport/transportfactory.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using std::chrono::hours;
using std::chrono::milliseconds;

TEST_GROUP(EventLoop)
{
    std::unique_ptr<IEventLoop> m_loop = makeEventLoop();

    void runTask(std::function<void()> task)
    {
        m_loop->spawn([this, task = std::move(task)] {
            task();
            m_loop->stop();
        });
        m_loop->run();
    }
};

TEST(EventLoop, TimersFireInTimeOrder)
{
    std::string order;
    m_loop->callLater(milliseconds(3), [&] { order += 'c'; });
    m_loop->callLater(milliseconds(1), [&] { order += 'a'; });
    const TimerId cancelled = m_loop->callLater(milliseconds(2), [&] { order += 'x'; });
    m_loop->callLater(milliseconds(2), [&] { order += 'b'; });
    m_loop->cancelTimer(cancelled);
    m_loop->callLater(milliseconds(4), [&] { m_loop->stop(); });
    m_loop->run();
    STRCMP_EQUAL("abc", order.c_str());
}

TEST(EventLoop, IdOfFiredTimerCancelsNoOtherTimer)
{
    bool hasRun = false;
    runTask([&] {
        const TimerId first = m_loop->callLater(Duration::zero(), [] {});
        m_loop->sleepFor(milliseconds(1));
        m_loop->callLater(Duration::zero(), [&] { hasRun = true; });
        m_loop->cancelTimer(first);
        m_loop->sleepFor(milliseconds(1));
    });
    CHECK(hasRun);
}

TEST(EventLoop, SleepingFibersInterleave)
{
    std::string order;
    m_loop->spawn([&] {
        order += '1';
        m_loop->sleepFor(milliseconds(2));
        order += '3';
        m_loop->stop();
    });
    m_loop->spawn([&] {
        order += '2';
        m_loop->sleepFor(milliseconds(1));
        order += 'b';
    });
    m_loop->run();
    STRCMP_EQUAL("12b3", order.c_str());
}

TEST(EventLoop, PostFromAnotherThreadWakesABlockedLoop)
{
    std::string order;
    OneShot<int> value(*m_loop);
    std::thread other([&] { m_loop->post([&] { value.set(7); }); });
    int received = 0;
    runTask([&] { received = value.wait(hours(1)).value_or(0); });
    other.join();
    CHECK_EQUAL(7, received);
}

TEST(EventLoop, OneShotAcceptsValueAfterTimeout)
{
    OneShot<int> value(*m_loop);
    bool isTimedOut = false;
    int received = 0;
    runTask([&] {
        isTimedOut = !value.wait(milliseconds(1));
        value.set(3);
        value.set(4);
        received = value.wait(hours(1)).value_or(0);
    });
    CHECK(isTimedOut);
    CHECK_EQUAL(3, received);
}

/// Guards against busy waiting while all fibers sleep: a loop that counted Boost.Fiber's dispatcher
/// as a ready fiber would never block, and an idle daemon would use a whole core.
TEST(EventLoop, IdleLoopBlocks)
{
    constexpr std::uint64_t MAX_IDLE_TURNS = 10;
    EventLoop loop;
    std::uint64_t turns = 0;
    loop.spawn([&] {
        const std::uint64_t before = loop.turnCount();
        loop.sleepFor(milliseconds(50));
        turns = loop.turnCount() - before;
        loop.stop();
    });
    loop.run();
    CHECK(turns > 0);
    CHECK(turns < MAX_IDLE_TURNS);
}

TEST(EventLoop, ExceptionEndsOnlyItsFiber)
{
    bool hasRun = false;
    m_loop->spawn([] { throw std::runtime_error("expected by the test"); });
    runTask([&] {
        m_loop->sleepFor(milliseconds(1));
        hasRun = true;
    });
    CHECK(hasRun);
}

// Guards against exceptions of which nobody learns, as standard error may not be kept.
TEST(EventLoop, ExceptionsAreReportedWhereverTheyEndATask)
{
    std::vector<std::string> reports;
    m_loop->setFailureHandler([&reports](const std::string &text) { reports.push_back(text); });
    m_loop->spawn([] { throw std::runtime_error("fiber"); });
    m_loop->post([] { throw std::runtime_error("callback"); });
    m_loop->callLater(milliseconds(1), [] { throw std::runtime_error("timer"); });
    bool isWhole = true;
    runTask([&] {
        isWhole = m_loop->runGuarded([] { throw std::runtime_error("guarded"); });
        m_loop->sleepFor(milliseconds(5));
    });
    CHECK_FALSE(isWhole);
    std::sort(reports.begin(), reports.end());
    CHECK((reports == std::vector<std::string>{ "callback", "fiber", "guarded", "timer" }));
}

// Guards against fibers that continue after what they use was destroyed.
TEST(EventLoop, FibersEndBeforeTheirOwnerIsDestroyed)
{
    auto owner = std::make_unique<std::string>("alive");
    std::string seen;
    m_loop->spawn([&] {
        m_loop->sleepFor(std::chrono::hours(1));
        seen = *owner;
    });
    runTask([&] { m_loop->sleepFor(milliseconds(1)); });
    m_loop->endFibers();
    owner.reset();
    STRCMP_EQUAL("alive", seen.c_str());
}

TEST(EventLoop, MainFiberMayWaitOutsideRun)
{
    OneShot<int> value(*m_loop);
    m_loop->spawn([&] {
        m_loop->sleepFor(milliseconds(1));
        value.set(5);
    });
    CHECK_EQUAL(5, value.wait(hours(1)).value_or(0));
}

/// A fiber sleeps for an hour when its loop is destroyed. Boost.Fiber joins all fibers at thread
/// exit, so without the early wake-up the thread would hang for that hour.
TEST(EventLoop, DestructionEndsSleepingFibers)
{
    bool hasEnded = false;
    std::thread thread([&] {
        const auto loop = makeEventLoop();
        loop->spawn([&] {
            loop->sleepFor(hours(1));
            hasEnded = true;
        });
        loop->spawn([&] { loop->stop(); });
        loop->run();
    });
    thread.join();
    CHECK(hasEnded);
}

/// As above, with a loop that another thread creates and destroys.
TEST(EventLoop, ThreadExitEndsSleepingFibers)
{
    bool hasEnded = false;
    m_loop->post([&] {
        m_loop->spawn([&] {
            m_loop->sleepFor(hours(1));
            hasEnded = true;
        });
        m_loop->stop();
    });
    std::thread thread([&] { m_loop->run(); });
    thread.join();
    CHECK(hasEnded);
}

TEST(EventLoop, ManyFibersReuseStacks)
{
    int ended = 0;
    runTask([&] {
        for (int round = 0; round < 20; ++round) {
            for (int i = 0; i < 200; ++i) {
                m_loop->spawn([&] { ++ended; });
            }
            m_loop->sleepFor(milliseconds(1));
        }
    });
    CHECK_EQUAL(4000, ended);
}
