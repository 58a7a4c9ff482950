#include <map>
#include <memory>
#include <string>

#include "app/internal/entry/entryservice.h"
#include "app/internal/gate/gateservice.h"
#include "app/internal/gate/noonceservice.h"
#include "app/tests/mocks/inlineeventloop.h"
#include "app/tests/mocks/noquarantine.h"
#include "app/tests/mocks/silentobservers.h"
#include "coordination/admission/gatefactory.h"
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

const DaemonId SELF("till-1");
const Endpoint OUTER{ "127.0.0.1", 9000 };
const Endpoint INNER{ "127.0.0.1", 9001 };
constexpr Duration OBJECTIVE = 250ms;
constexpr Duration BEFORE_CALL = 20ms;
constexpr Duration INNER_TIME = 10ms;
constexpr Duration AFTER_CALL = 30ms;

const char INVENTORY[] = R"(deployment = "t"
[[domain]]
name = "hall"
region = "r"
[[service]]
name = "notices"
slots = 8
connections = 60
[[service]]
name = "feeders"
slots = 8
connections = 60
[[server]]
name = "feeder-1"
service = "feeders"
domain = "hall"
)";

const char RULES[] = R"([[class]]
name = "high"
priority = 90
[[rule]]
name = "notice"
service = "notices"
path = "/urgent"
class = "high"
wait = "1s"
objective = "250ms"
[[rule]]
name = "archive"
service = "notices"
class = "high"
wait = "1s"
[[rule]]
name = "feeder"
service = "feeders"
class = "high"
wait = "700ms"
objective = "300ms"
)";

class OpenAccounts : public IAccounts
{
public:
    bool needsKey(const RuleSpec & /*rule*/) const override { return false; }
    tl::expected<const AccountSpec *, Verdict>
    identify(const RuleSpec & /*rule*/, const std::optional<AccountKey> & /*key*/) const override
    {
        return nullptr;
    }
    std::optional<Verdict> take(const AccountName & /*account*/) override { return std::nullopt; }
    void refund(const AccountName & /*account*/) override { }
};

class Exchange : public IHttpExchange
{
public:
    explicit Exchange(std::string target)
    {
        m_request.method = "GET";
        m_request.target = std::move(target);
    }

    HttpRequest &editedRequest() { return m_request; }
    const HttpRequest &request() const override { return m_request; }
    Duration waited() const override { return Duration::zero(); }
    ConnectionTally &tally() override { return m_tally; }
    void onDisconnect(std::function<void()> /*callback*/) override { }
    void onUndelivered(std::function<void(DeliveryFailure)> /*callback*/) override { }

private:
    HttpRequest m_request;
    ConnectionTally m_tally;
};

/// Passes the calls to the gates of the same daemon and records their objectives.
class LocalSender : public ICallSender
{
public:
    explicit LocalSender(IGateService &gates)
        : m_gates(gates)
    {
    }

    StreamId send(const DaemonId & /*target*/, CallMessage call, OnAnswer onAnswer) override
    {
        left[call.service] = call.objectiveLeft;
        m_gates.handle(std::move(call), CallSource::ThisDaemon, [onAnswer](ResponseMessage answer) {
            onAnswer(AttemptAnswer{ std::move(answer), true });
        });
        return StreamId(1);
    }
    void cancel(StreamId /*stream*/) override { }

    std::map<ServiceName, std::optional<Duration>> left;

private:
    IGateService &m_gates;
};

/// The server of `notices` makes one call to `feeders`.
class CallingServer : public IHttpClient
{
public:
    explicit CallingServer(InlineEventLoop &loop)
        : m_loop(loop)
    {
    }

    HttpResult exchange(const Endpoint &endpoint, const HttpRequest &request, Duration /*timeout*/,
                        HttpCancellationPtr /*cancellation*/) override
    {
        if (endpoint == INNER) {
            m_loop.advance(INNER_TIME);
            return HttpResponse{ 200, {}, "" };
        }
        m_loop.advance(BEFORE_CALL);
        Exchange inner("/feeders/1");
        const std::string *context = findHeader(request.headers, headers::CONTEXT);
        inner.editedRequest().headers.push_back({ headers::CONTEXT, *context });
        (void)entry->handleUpstream(inner);
        m_loop.advance(AFTER_CALL);
        return HttpResponse{ 200, {}, "" };
    }
    bool isListening(const Endpoint & /*endpoint*/) override { return true; }
    void setConnectionLimit(const Endpoint & /*endpoint*/, std::size_t /*connections*/) override { }
    void preconnect(const Endpoint & /*endpoint*/, std::size_t /*connections*/) override { }

    EntryService *entry = nullptr;

private:
    InlineEventLoop &m_loop;
};

} // namespace

TEST_GROUP(CallObjective)
{
    InlineEventLoop m_loop;
    CallingServer m_server{ m_loop };
    SeededRandom m_random{ 1 };
    NoOnceService m_once;
    NoQuarantine m_quarantine;
    OpenAccounts m_accounts;
    SilentObservers m_observers;
    std::unique_ptr<IUpstreamDialect> m_upstreamDialect = makeOwnUpstreamDialect();
    std::unique_ptr<IRequestDialect> m_dialect = makeOwnRequestDialect();
    std::unique_ptr<IRouter> m_router = makeRouter(RouterOptions{});
    std::unique_ptr<IRetryPolicy> m_retries = makeRetryPolicy(RetryOptions{});
    GateService m_gates{ m_loop,
                         m_server,
                         m_random,
                         m_once,
                         m_quarantine,
                         *m_upstreamDialect,
                         [](const UpstreamInfo &) { return makeGate(GateOptions{}); },
                         m_observers.observers(),
                         GateServiceOptions{} };
    LocalSender m_sender{ m_gates };
    EntryService m_entry{ m_loop,
                          *m_dialect,
                          EntryPolicies{ *m_router, *m_retries, m_random },
                          m_sender,
                          m_gates,
                          m_quarantine,
                          m_accounts,
                          m_observers.observers(),
                          EntryOptions{} };

    void setup() override
    {
        m_server.entry = &m_entry;
        const UpstreamInfo outer{ ServiceName("notices"), 8, 60, false };
        const UpstreamInfo inner{ ServiceName("feeders"), 8, 60, false };
        Member member;
        member.id = SELF;
        member.upstreams = { outer, inner };
        m_router->setMembers(m_loop.now(), { member });
        const ReadConfiguration read = makeConfigurationReader()->read(
            { INVENTORY, RULES }, "i.toml", "r.toml", ConfigurationVersion(1));
        CHECK(read.configuration != nullptr);
        m_entry.setConfiguration(read.configuration);
    }

    void request(const std::string &target)
    {
        m_gates.announce(Announcement{ { ServiceName("notices"), 8, 60, false }, OUTER, {} });
        m_gates.announce(Announcement{ { ServiceName("feeders"), 8, 60, false }, INNER, {} });
        Exchange exchange(target);
        CHECK_EQUAL(200, m_entry.handleCaller(exchange).status);
    }
};

TEST(CallObjective, InnerCallHasWhatTheRootHasLeftLessTheRestOfItsParent)
{
    for (int i = 0; i < 200; ++i) {
        request("/notices/urgent");
    }
    CHECK(m_sender.left[ServiceName("notices")] == OBJECTIVE);
    const std::optional<Duration> inner = m_sender.left[ServiceName("feeders")];
    CHECK(inner.has_value());
    const Duration expected = OBJECTIVE - BEFORE_CALL - AFTER_CALL;
    CHECK(*inner > expected - 10ms);
    CHECK(*inner < expected + 10ms);
}

// The inner call's own rule has an objective, which counts only where it is a root.
TEST(CallObjective, RuleWithoutObjectiveHandsNoneDown)
{
    request("/notices/archive");
    CHECK_FALSE(m_sender.left[ServiceName("notices")].has_value());
    CHECK_FALSE(m_sender.left[ServiceName("feeders")].has_value());
}
