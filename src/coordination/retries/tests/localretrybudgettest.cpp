#include "coordination/retries/ilocalretrybudget.h"

#include <algorithm>
#include <deque>
#include <iterator>

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const Priority IMPORTANT(90);
const Priority MINOR(10);

LocalRetryBudgetOptions makeOptions()
{
    LocalRetryBudgetOptions options;
    options.ratio = 0.2;
    return options;
}

} // namespace

TEST_GROUP(LocalRetryBudget)
{
    TimePoint m_now{ 100s };
    std::unique_ptr<ILocalRetryBudget> m_budget = makeLocalRetryBudget(makeOptions());

    void recordArrivals(int count, Duration gap)
    {
        for (int i = 0; i < count; ++i, m_now += gap) {
            m_budget->onArrival(m_now, false);
        }
    }
    int takeAll(Priority priority)
    {
        int taken = 0;
        while (taken < 100000 && m_budget->tryTake(m_now, priority)) {
            ++taken;
        }
        return taken;
    }
};

TEST(LocalRetryBudget, AllowsItsShareOfTheFirstArrivals)
{
    recordArrivals(1000, 5ms);
    DOUBLES_EQUAL(0.2 * 0.9 * 1000, takeAll(IMPORTANT), 1);
}

TEST(LocalRetryBudget, CountsRepeatsOfEntriesAsWell)
{
    recordArrivals(1000, 5ms);
    for (int i = 0; i < 100; ++i) {
        m_budget->onArrival(m_now, true);
    }
    DOUBLES_EQUAL(0.2 * 0.9 * 1000 - 100, takeAll(IMPORTANT), 1);
}

TEST(LocalRetryBudget, AllowsNoneWithoutArrivalsOrWhenDisabled)
{
    CHECK_FALSE(m_budget->tryTake(m_now, IMPORTANT));
    LocalRetryBudgetOptions off = makeOptions();
    off.isEnabled = false;
    m_budget = makeLocalRetryBudget(off);
    recordArrivals(1000, 5ms);
    CHECK_FALSE(m_budget->tryTake(m_now, IMPORTANT));
}

// Every call requests a repeat, for a minute of changing load. No window of ten seconds may contain
// more repeats than a fifth of the first arrivals of that window, of the one half a window earlier,
// or of the one before it.
TEST(LocalRetryBudget, LimitHoldsInEveryWindow)
{
    std::deque<TimePoint> firstArrivals;
    std::deque<TimePoint> repeats;
    const auto countIn = [](const std::deque<TimePoint> &times, TimePoint from, TimePoint to) {
        return std::distance(std::upper_bound(times.begin(), times.end(), from),
                             std::upper_bound(times.begin(), times.end(), to));
    };
    for (int i = 0; i < 60000; ++i, m_now += 1ms) {
        const bool isCalm = (i / 7000) % 3 == 0;
        if (isCalm && i % 5 != 0) {
            continue;
        }
        m_budget->onArrival(m_now, false);
        firstArrivals.push_back(m_now);
        if (m_budget->tryTake(m_now, IMPORTANT)) {
            repeats.push_back(m_now);
        }
        const auto most = std::max({ countIn(firstArrivals, m_now - 10s, m_now),
                                     countIn(firstArrivals, m_now - 15s, m_now - 5s),
                                     countIn(firstArrivals, m_now - 20s, m_now - 10s) });
        CHECK(static_cast<double>(countIn(repeats, m_now - 10s, m_now)) <= 0.2 * most);
    }
    CHECK(repeats.size() > 1000);
}

// A server sheds 45 % of its calls, so each important call needs 0.8 repeats, and there are far
// more minor calls. If repeats were granted in order of arrival, the minor calls would take four
// fifths of them, and half of the important requests would fail after their work was done.
TEST(LocalRetryBudget, ReservesRepeatsForCallsOfHigherPriority)
{
    recordArrivals(20000, 500us);
    int importantAsked = 0;
    int importantTaken = 0;
    int minorTaken = 0;
    for (int i = 0; i < 4000; ++i, m_now += 1ms) {
        minorTaken += m_budget->tryTake(m_now, MINOR) ? 1 : 0;
        minorTaken += m_budget->tryTake(m_now, MINOR) ? 1 : 0;
        if (i % 2 == 0) {
            ++importantAsked;
            importantTaken += m_budget->tryTake(m_now, IMPORTANT) ? 1 : 0;
        }
    }
    CHECK_EQUAL(importantAsked, importantTaken);
    CHECK(minorTaken > 0);
}

// A service fails, and entries start hardly any call trees that lead to it. The few calls left need
// their repeats, so the arrivals of the ten seconds before still count. By current arrivals alone a
// third of the calls would get no repeat.
TEST(LocalRetryBudget, CountsArrivalsBeforeAFailure)
{
    recordArrivals(10000, 1ms);
    int taken = 0;
    for (int i = 0; i < 80; ++i, m_now += 100ms) {
        for (int n = 0; n < 15; ++n) {
            taken += m_budget->tryTake(m_now, IMPORTANT) ? 1 : 0;
        }
    }
    CHECK_EQUAL(80 * 15, taken);
}
