#include "protocol/accountexchange.h"
#include "protocol/suspectexchange.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

TEST_GROUP(AccountExchange)
{
    TokenDemand m_demand{ AccountName("kitchen"), 2, 3, 4, 5, 1.5, 0.25, RateShare(7000), 9s, 8 };
    TokenGrant m_part{ AccountName("kitchen"), true, 6, 20ms, 300ms, RateShare(12), 10s };
};

TEST(AccountExchange, AnAskIsReadAsItWasWritten)
{
    const auto read = decodeAccountMessage(
        encodeAccountMessage(TokenRequest{ 41, true, { m_demand, TokenDemand() } }));
    const auto &ask = std::get<TokenRequest>(*read);
    CHECK_EQUAL(41, ask.number);
    CHECK(ask.isForFallback);
    CHECK_EQUAL(2, ask.demands.size());
    const TokenDemand &demand = ask.demands.front();
    CHECK(demand.account == m_demand.account);
    CHECK_EQUAL(2, demand.waiting);
    CHECK_EQUAL(3, demand.prefetch);
    CHECK_EQUAL(4, demand.held);
    CHECK_EQUAL(5, demand.returned);
    DOUBLES_EQUAL(1.5, demand.rate, 0.001);
    DOUBLES_EQUAL(0.25, demand.longTermRate, 0.001);
    CHECK(demand.lease == RateShare(7000));
    CHECK(demand.leaseLeft == 9s);
    CHECK_EQUAL(8, demand.locallyAdmitted);
}

TEST(AccountExchange, AGrantIsReadAsItWasWritten)
{
    const auto read = decodeAccountMessage(encodeAccountMessage(TokenResponse{ 42, { m_part } }));
    const auto &grant = std::get<TokenResponse>(*read);
    CHECK_EQUAL(42, grant.number);
    const TokenGrant &part = grant.grants.at(0);
    CHECK(part.isFromHome);
    CHECK_EQUAL(6, part.tokens);
    CHECK(part.emptyFor == 20ms);
    CHECK(part.retryAfter == 300ms);
    CHECK(part.lease == RateShare(12));
    CHECK(part.leaseDuration == 10s);
}

// Guards against a daemon that grants, or believes in, more than the whole rate.
TEST(AccountExchange, ALeaseOfMoreThanTheWholeRateIsMalformed)
{
    m_part.lease = RateShare(WHOLE_RATE.value() + 1);
    CHECK_FALSE(decodeAccountMessage(encodeAccountMessage(TokenResponse{ 1, { m_part } })));
}

TEST(AccountExchange, WhatIsCutShortIsMalformed)
{
    const std::string whole = encodeAccountMessage(TokenRequest{ 41, false, { m_demand } });
    for (std::size_t size = 0; size < whole.size(); ++size) {
        CHECK_FALSE(decodeAccountMessage(whole.substr(0, size)).has_value());
    }
}

TEST(AccountExchange, OtherExchangesAreToldApart)
{
    CHECK(isAccountMessage(encodeAccountMessage(TokenResponse{ 1, {} })));
    CHECK_FALSE(isSuspectMessage(encodeAccountMessage(TokenResponse{ 1, {} })));
    const std::string other = encodeSuspectMessage(SuspectDigest{}, TimePoint());
    CHECK_FALSE(isAccountMessage(other));
    CHECK(decodeAccountMessage(other).error().code == ErrorCode::NotFound);
}
