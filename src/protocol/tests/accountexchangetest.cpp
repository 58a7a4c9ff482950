#include "protocol/accountexchange.h"
#include "protocol/suspectexchange.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

TEST_GROUP(AccountExchange)
{
    TokenDemand m_demand{ AccountName("kitchen"), 2, 3, 4, 5, 1.5, 0.25, RateShare(7000), 9s, 8 };
    TokenGrant m_grant{ AccountName("kitchen"), true, 6, 20ms, 300ms, RateShare(12), 10s };
};

TEST(AccountExchange, RequestKeepsAllFields)
{
    const auto read = decodeAccountMessage(
        encodeAccountMessage(TokenRequest{ 41, true, { m_demand, TokenDemand() } }));
    const auto &request = std::get<TokenRequest>(*read);
    CHECK_EQUAL(41, request.number);
    CHECK(request.isForFallback);
    CHECK_EQUAL(2, request.demands.size());
    const TokenDemand &demand = request.demands.front();
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

TEST(AccountExchange, ResponseKeepsAllFields)
{
    const auto read = decodeAccountMessage(encodeAccountMessage(TokenResponse{ 42, { m_grant } }));
    const auto &response = std::get<TokenResponse>(*read);
    CHECK_EQUAL(42, response.number);
    const TokenGrant &grant = response.grants.at(0);
    CHECK(grant.isFromHome);
    CHECK_EQUAL(6, grant.tokens);
    CHECK(grant.emptyFor == 20ms);
    CHECK(grant.retryAfter == 300ms);
    CHECK(grant.lease == RateShare(12));
    CHECK(grant.leaseDuration == 10s);
}

// Guards against daemons that grant or accept more than the whole rate.
TEST(AccountExchange, LeaseAboveWholeRateIsMalformed)
{
    m_grant.lease = RateShare(WHOLE_RATE.value() + 1);
    CHECK_FALSE(decodeAccountMessage(encodeAccountMessage(TokenResponse{ 1, { m_grant } })));
}

TEST(AccountExchange, TruncatedMessageIsMalformed)
{
    const std::string whole = encodeAccountMessage(TokenRequest{ 41, false, { m_demand } });
    for (std::size_t size = 0; size < whole.size(); ++size) {
        CHECK_FALSE(decodeAccountMessage(whole.substr(0, size)).has_value());
    }
}

TEST(AccountExchange, OtherExchangesAreDistinguished)
{
    CHECK(isAccountMessage(encodeAccountMessage(TokenResponse{ 1, {} })));
    CHECK_FALSE(isSuspectMessage(encodeAccountMessage(TokenResponse{ 1, {} })));
    const std::string other = encodeSuspectMessage(SuspectDigest{}, TimePoint());
    CHECK_FALSE(isAccountMessage(other));
    CHECK(decodeAccountMessage(other).error().code == ErrorCode::NotFound);
}
