#include <vector>

#include "transport/internal/timerqueue.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

TEST_GROUP(TimerQueue)
{
    TimerQueue m_queue;
    std::vector<int> m_ran;

    TimerId add(int time)
    {
        return m_queue.add(at(time), [this, time] { m_ran.push_back(time); });
    }

    static TimePoint at(int time)
    {
        return TimePoint(Duration(time));
    }

    void runDue(int time)
    {
        while (const auto task = m_queue.takeDue(at(time))) {
            task();
        }
    }
};

TEST(TimerQueue, ReturnsDueTasksInOrder)
{
    for (const int time : { 5, 1, 3, 9, 7 }) {
        add(time);
    }
    runDue(6);
    CHECK((m_ran == std::vector<int>{ 1, 3, 5 }));
    CHECK(m_queue.nextTime() == at(7));
    runDue(100);
    CHECK((m_ran == std::vector<int>{ 1, 3, 5, 7, 9 }));
    CHECK(m_queue.nextTime() == TimePoint::max());
}

/// Most timeouts are cancelled long before they are due, so their slots are reused while their heap
/// entries are still queued. A stale id must never affect a new task.
TEST(TimerQueue, CancelledTasksNeverRunAndStaleIdsCancelNothing)
{
    constexpr int ROUNDS = 10000;
    std::vector<TimerId> old;
    for (int i = 0; i < ROUNDS; ++i) {
        const TimerId id = add(1000000 + i);
        m_queue.cancel(id);
        old.push_back(id);
    }
    add(1);
    add(2);
    for (const TimerId id : old) {
        m_queue.cancel(id);
    }
    runDue(10000000);
    CHECK((m_ran == std::vector<int>{ 1, 2 }));
}

TEST(TimerQueue, NextTimeIgnoresCancelledTasks)
{
    const TimerId first = add(1);
    add(2);
    m_queue.cancel(first);
    m_queue.cancel(TimerId());
    CHECK(m_queue.nextTime() == at(2));
}
