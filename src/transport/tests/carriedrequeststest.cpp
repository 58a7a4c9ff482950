#include "transport/internal/carriedrequests.h"

#include "state/time.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_GROUP(CarriedRequests)
{
    CarriedRequests m_carried;
    TimePoint m_now = TimePoint() + minutes(1);

    void addMany(std::size_t count, Duration lifetime)
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_carried.add(m_now, "request-" + std::to_string(i), m_now + lifetime);
        }
    }
};

TEST(CarriedRequests, KeepsRequestsThatMayBeSentAgain)
{
    CHECK_EQUAL(0, m_carried.count());
    m_carried.add(m_now, "a", m_now + seconds(5));
    m_now += seconds(5);
    addMany(1000, seconds(1));
    CHECK(m_carried.contains("a"));
    CHECK_FALSE(m_carried.contains("b"));
    CHECK_EQUAL(1001, m_carried.count());
}

TEST(CarriedRequests, RequestsWithoutAValueAreNotCompared)
{
    m_carried.add(m_now, "", m_now + seconds(5));
    CHECK_FALSE(m_carried.contains(""));
    CHECK_EQUAL(1, m_carried.count());
}

// Guards against a connection that keeps the values of all requests that it ever carried.
TEST(CarriedRequests, ForgetsRequestsThatAreNotSentAgain)
{
    for (int i = 0; i < 100; ++i) {
        addMany(1000, seconds(1));
        m_now += seconds(10);
    }
    CHECK_FALSE(m_carried.isFull());
    addMany(10'000, seconds(1));
    CHECK(m_carried.isFull());
}
