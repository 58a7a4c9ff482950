#include <map>
#include <memory>
#include <string>

#include "app/internal/entry/entryservice.h"
#include "app/tests/mocks/fakegateservice.h"
#include "app/tests/mocks/inlineeventloop.h"
#include "app/tests/mocks/noquarantine.h"
#include "app/tests/mocks/silentobservers.h"
#include "coordination/retries/retrypolicyfactory.h"
#include "coordination/routing/routerfactory.h"
#include "protocol/configurationreaderfactory.h"
#include "protocol/headers.h"
#include "protocol/owndialects.h"
#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const char INVENTORY[] = R"(deployment = "t"
[[domain]]
name = "hall"
region = "r"
[[service]]
name = "shop"
slots = 8
connections = 60
[[server]]
name = "shop-1"
service = "shop"
domain = "hall"
)";

const char RULES[] = R"([[class]]
name = "high"
priority = 90
[[rule]]
name = "browse"
service = "shop"
class = "high"
wait = "1s"
)";

/// Accounts of equal weight; the key of each is its name.
class NamedAccounts : public IAccounts
{
public:
    NamedAccounts()
    {
        m_accounts["acme"].name = AccountName("acme");
        m_accounts["other"].name = AccountName("other");
    }

    bool needsKey(const RuleSpec & /*rule*/) const override { return true; }
    tl::expected<const AccountSpec *, Verdict>
    identify(const RuleSpec & /*rule*/, const std::optional<AccountKey> &key) const override
    {
        return &m_accounts.at(key->value());
    }
    std::optional<Verdict> take(const AccountName & /*account*/) override
    {
        ++tokens;
        return std::nullopt;
    }
    std::optional<AccountClaim> claimOf(const AccountName &account) const override
    {
        return AccountClaim{ account, 1, 0 };
    }
    void refund(const AccountName & /*account*/) override { --tokens; }

    int tokens = 0;

private:
    std::map<std::string, AccountSpec> m_accounts;
};

class KeyedExchange : public IHttpExchange
{
public:
    explicit KeyedExchange(const std::string &key)
    {
        m_request.method = "GET";
        m_request.target = "/shop/1";
        m_request.headers.push_back({ headers::KEY, key });
    }

    const HttpRequest &request() const override { return m_request; }
    Duration waited() const override { return Duration::zero(); }
    ConnectionTally &tally() override { return m_tally; }
    void onDisconnect(std::function<void()> /*callback*/) override { }
    void onUndelivered(std::function<void(DeliveryFailure)> /*callback*/) override { }

private:
    HttpRequest m_request;
    ConnectionTally m_tally;
};

/// Answers at once; the call tree reaches a service that is asked for twice what it can do.
class FullServiceSender : public ICallSender
{
public:
    StreamId send(const DaemonId & /*target*/, CallMessage /*call*/, OnAnswer onAnswer) override
    {
        AttemptAnswer answer;
        answer.isFromDaemon = true;
        answer.message.verdict.outcome = Outcome::Answered;
        answer.message.response.status = 200;
        ServiceUsage usage;
        usage.service = ServiceName("stock");
        usage.busy = 100ms;
        usage.load = DemandLoad(2000);
        answer.message.usage = { usage };
        onAnswer(std::move(answer));
        return StreamId(1);
    }
    void cancel(StreamId /*stream*/) override { }
};

EntryOptions withRootAdmission()
{
    EntryOptions options;
    options.hasRootAdmission = true;
    return options;
}

} // namespace

TEST_GROUP(EntryAccountShares)
{
    InlineEventLoop m_loop;
    SeededRandom m_random{ 1 };
    FakeGateService m_gates;
    NoQuarantine m_quarantine;
    NamedAccounts m_accounts;
    FullServiceSender m_sender;
    SilentObservers m_observers;
    std::unique_ptr<IRequestDialect> m_dialect = makeOwnRequestDialect();
    std::unique_ptr<IRouter> m_router = makeRouter(RouterOptions{});
    std::unique_ptr<IRetryPolicy> m_retries = makeRetryPolicy(RetryOptions{});
    EntryService m_entry{ m_loop,
                          *m_dialect,
                          EntryPolicies{ *m_router, *m_retries, m_random },
                          m_sender,
                          m_gates,
                          m_quarantine,
                          m_accounts,
                          m_observers.observers(),
                          withRootAdmission() };

    void setup() override
    {
        Member member;
        member.id = DaemonId("d1");
        member.upstreams = { UpstreamInfo{ ServiceName("shop"), 8, 60, false } };
        m_router->setMembers(m_loop.now(), { member });
        const ReadConfiguration read = makeConfigurationReader()->read(
            { INVENTORY, RULES }, "i.toml", "r.toml", ConfigurationVersion(1));
        CHECK(read.configuration != nullptr);
        m_entry.setConfiguration(read.configuration);
    }

    bool isServed(const std::string &account)
    {
        KeyedExchange exchange(account);
        return m_entry.handleCaller(exchange).status == 200;
    }
};

// Load: `acme` sends nine of ten requests; twice as many arrive as fit.
TEST(EntryAccountShares, RefusalsOfAHeavyAccountAreCountedAndReturnTheirTokens)
{
    constexpr int REQUESTS = 5000;
    int servedOthers = 0;
    int served = 0;
    for (int i = 0; i < REQUESTS; ++i) {
        const bool isOther = i % 10 == 0;
        const bool isAnswered = isServed(isOther ? "other" : "acme");
        served += isAnswered ? 1 : 0;
        servedOthers += isOther && isAnswered ? 1 : 0;
        m_loop.advance(10ms);
    }
    CHECK(servedOthers >= 0.9 * REQUESTS / 10);
    DOUBLES_EQUAL(0.5, static_cast<double>(served) / REQUESTS, 0.05);
    LONGS_EQUAL(served, m_accounts.tokens);
    const std::vector<AccountShareStatus> shares = m_entry.accountShares();
    LONGS_EQUAL(2, shares.size());
    STRCMP_EQUAL("acme", shares.front().account.value().c_str());
    CHECK(shares.front().demandSlots > shares.front().admittedSlots);
    LONGS_EQUAL(2, m_entry.activeAccounts());
    STRCMP_CONTAINS("ivyspar_account_share_refusals_total 2", m_observers.metrics().text().c_str());
}
