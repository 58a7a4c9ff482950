#include <chrono>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

#include "standins/deployment/blockinghttp.h"
#include "tests/process/failuretest.h"

using namespace ivyspar;
using namespace ivyspar::lab;

namespace {

/// A domain has one server of 20 slots, of which these calls take 36.
constexpr std::uint32_t CALLS_PER_SECOND = 180;
constexpr std::chrono::seconds LENGTH(6);

} // namespace

struct DomainBalanceProcessFixture : FailureTest
{
    void sendThroughFirstDomain()
    {
        const auto start = std::chrono::steady_clock::now();
        const auto count = static_cast<std::uint32_t>(LENGTH.count()) * CALLS_PER_SECOND;
        for (std::uint32_t i = 0; i < count; ++i) {
            const GraphCall kind{ "desk", "GET", "/wait/5" };
            m_trial->callers().send(m_trial->plan(kind, 'b' + std::to_string(i), 0));
            std::this_thread::sleep_until(
                start + std::chrono::microseconds(1000000 / CALLS_PER_SECOND) * (i + 1));
        }
    }
    std::string ask(const char *target)
    {
        const auto answer = exchangeBlocking(m_trial->host(0).operators, { "GET", target, {}, {} },
                                             std::chrono::seconds(5));
        return answer ? answer->body : "";
    }
    /// The share of the calls to the only service that the first domain keeps; 1 if they are not
    /// divided.
    double keptShare()
    {
        const auto status = nlohmann::json::parse(ask("/status"), nullptr, false);
        for (const auto &service : status.is_object() ? status["balance"] : nlohmann::json()) {
            for (const auto &domain : service["domains"]) {
                if (domain["domain"] == m_trial->host(0).domain && domain["share"].is_number()) {
                    return domain["share"].get<double>();
                }
            }
        }
        return 1;
    }
};

TEST_GROUP_BASE(DomainBalanceProcess, DomainBalanceProcessFixture){};

// Load: one domain of three is asked for nearly twice what its server can do, the others for
// nothing.
TEST(DomainBalanceProcess, DomainThatIsShortSendsAwayWhatItCannotDo)
{
    startTrial(makeTrialGraph(), { "--balance_domains" }, false);
    sendThroughFirstDomain();
    const double kept = keptShare();
    CHECK_COMPARE(kept, <, 0.8);
    CHECK_COMPARE(kept, >, 0.3);
    CHECK(ask("/metrics").find("ivyspar_crossing_calls_total{by=\"share\"} 0\n")
          == std::string::npos);
    m_trial->callers().waitForAll();
    CHECK_COMPARE(countServed(m_trial->history()), >, 0.99 * CALLS_PER_SECOND * LENGTH.count());
}

// Guards against calls that are divided although the settings do not ask for it.
TEST(DomainBalanceProcess, NothingIsDividedByDefault)
{
    startTrial(makeTrialGraph(), {}, false);
    sendThroughFirstDomain();
    DOUBLES_EQUAL(1, keptShare(), 0);
}
