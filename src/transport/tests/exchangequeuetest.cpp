#include <string>

#include "transport/internal/exchangequeue.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

TEST_GROUP(ExchangeQueue)
{
    PipelineLedger m_ledger;
    ExchangeQueue m_queue{ m_ledger };
    ConnectionTally m_tally;
    HttpLimits m_limits;

    void setup() override
    {
        m_limits.pipelinedRequests = 4;
    }

    HttpExchange &push()
    {
        return m_queue.push({ { "GET", "/", {}, {} }, {} }, m_tally);
    }

    void finish(HttpExchange & exchange, std::size_t bytes)
    {
        exchange.finish(HttpResponse{ 200, {}, std::string(bytes, 'x') });
        m_queue.onFinished(exchange);
    }
};

TEST(ExchangeQueue, HasRoomUpToTheNumberOfRequests)
{
    for (int i = 0; i < 4; ++i) {
        CHECK(m_queue.hasRoom(m_limits));
        push();
    }
    CHECK_FALSE(m_queue.hasRoom(m_limits));
    m_queue.popFront();
    CHECK(m_queue.hasRoom(m_limits));
}

TEST(ExchangeQueue, HoldsNothingForTheFirstRequest)
{
    finish(push(), 1000000);
    LONGS_EQUAL(0, m_ledger.stats().bytes);
    LONGS_EQUAL(0, m_ledger.stats().inProgress);
    LONGS_EQUAL(0, m_ledger.stats().waitedForTurn);
}

// Guards against unbounded memory: responses that wait for their turn count until they are sent.
TEST(ExchangeQueue, CountsResponsesUntilTheirTurn)
{
    m_limits.pipelinedConnectionBytes = 200000;
    push();
    finish(push(), 150000);
    CHECK(m_ledger.stats().bytes >= 150000);
    CHECK(m_ledger.stats().bytes < 160000);
    CHECK_FALSE(m_queue.hasRoom(m_limits));
    m_queue.popFront();
    LONGS_EQUAL(0, m_ledger.stats().bytes);
    LONGS_EQUAL(1, m_ledger.stats().inProgress);
    LONGS_EQUAL(1, m_ledger.stats().waitedForTurn);
    m_queue.popFront();
    LONGS_EQUAL(0, m_ledger.stats().inProgress);
}

TEST(ExchangeQueue, ReservesTheLargestRecentResponse)
{
    push();
    finish(push(), 500000);
    const std::size_t held = m_ledger.stats().bytes;
    push();
    CHECK(m_ledger.stats().bytes >= held + 500000);
    for (int i = 0; i < 300; ++i) {
        m_ledger.onResponse(100);
    }
    CHECK(m_ledger.expectedResponse() < 1000);
}

// Guards against a server that handles no request before its turn any more after one response
// above the limit.
TEST(ExchangeQueue, ResponseAboveTheLimitIsForgottenByOtherResponses)
{
    push();
    finish(push(), 2 * m_limits.pipelinedConnectionBytes);
    m_queue.popFront();
    m_queue.popFront();
    CHECK_FALSE(m_queue.hasRoom(m_limits));
    for (int i = 0; i < 300; ++i) {
        finish(push(), 100);
        m_queue.popFront();
    }
    CHECK(m_queue.hasRoom(m_limits));
}

TEST(ExchangeQueue, LimitsBytesOfAllConnections)
{
    m_limits.pipelinedServerBytes = m_ledger.expectedResponse() + 5000;
    ExchangeQueue other(m_ledger);
    push();
    CHECK(m_queue.hasRoom(m_limits));
    other.holdUnstarted(5001);
    CHECK_FALSE(m_queue.hasRoom(m_limits));
    other.holdUnstarted(0);
    CHECK(m_queue.hasRoom(m_limits));
}

TEST(ExchangeQueue, ReleasesItsBytesAtItsEnd)
{
    {
        ExchangeQueue queue(m_ledger);
        queue.push({}, m_tally);
        queue.push({}, m_tally);
        queue.holdUnstarted(10);
        CHECK(m_ledger.stats().bytes > 10);
    }
    LONGS_EQUAL(0, m_ledger.stats().bytes);
    LONGS_EQUAL(0, m_ledger.stats().inProgress);
}

TEST(ExchangeQueue, ClosingResponseCancelsThoseBehindOnly)
{
    std::string cancelled;
    HttpExchange &first = push();
    HttpExchange &second = push();
    HttpExchange &third = push();
    first.onDisconnect([&] { cancelled += '1'; });
    third.onDisconnect([&] { cancelled += '3'; });
    second.closeConnection();
    finish(second, 1);
    STRCMP_EQUAL("3", cancelled.c_str());
    m_queue.notifyDisconnect();
    STRCMP_EQUAL("31", cancelled.c_str());
}
