#include "coordination/quarantine/isolation.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

TEST_GROUP(Isolation)
{
    Isolation m_isolation;
    const Fingerprint m_a{ "a" };
    const Fingerprint m_b{ "b" };
};

TEST(Isolation, RunsOneCallAtATimeInOrder)
{
    m_isolation.begin(CallId(1));
    CHECK_FALSE(m_isolation.isFree());
    m_isolation.wait(CallId(2), m_a);
    m_isolation.wait(CallId(3), m_b);
    CHECK_FALSE(m_isolation.takeNext().has_value());
    CHECK(m_isolation.leave(CallId(1)));
    CHECK(m_isolation.takeNext() == CallId(2));
    CHECK(m_isolation.takeNext() == CallId(3));
    CHECK_FALSE(m_isolation.takeNext().has_value());
}

TEST(Isolation, QueuedCallThatLeavesIsNotDequeued)
{
    m_isolation.begin(CallId(1));
    m_isolation.wait(CallId(2), m_a);
    CHECK(m_isolation.leave(CallId(2)));
    CHECK_FALSE(m_isolation.leave(CallId(2)));
    CHECK(m_isolation.leave(CallId(1)));
    CHECK_FALSE(m_isolation.takeNext().has_value());
}

TEST(Isolation, DequeuesAllCallsOfOneFingerprint)
{
    m_isolation.begin(CallId(1));
    m_isolation.wait(CallId(2), m_a);
    m_isolation.wait(CallId(3), m_b);
    m_isolation.wait(CallId(4), m_a);
    LONGS_EQUAL(2, m_isolation.take(m_a).size());
    LONGS_EQUAL(0, m_isolation.take(m_a).size());
    CHECK_FALSE(m_isolation.isFree());
}

TEST(Isolation, QueueIsBounded)
{
    m_isolation.begin(CallId(1));
    for (std::uint64_t i = 0; i < Isolation::MAX_WAITING_CALLS; ++i) {
        CHECK(m_isolation.hasRoom());
        m_isolation.wait(CallId(2 + i), m_a);
    }
    CHECK_FALSE(m_isolation.hasRoom());
}
