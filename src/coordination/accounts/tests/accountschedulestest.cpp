#include "coordination/accounts/tests/mocks/accountfleet.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t SEEDS = 40;
constexpr std::size_t ACCOUNTS = 3;

/// A random series of overlapping faults, determined by the seed, while the demand of accounts
/// rises to up to eight times its usual value.
class Schedule
{
public:
    Schedule(std::uint64_t seed, const AccountLimitOptions &options)
        : m_random(seed)
        , m_fleet(parametersOf(options), seed)
    {
        for (std::size_t i = 0; i < ACCOUNTS; ++i) {
            m_fleet.addAccount(makeAccount(i));
        }
    }

    /// Returns the largest excess of any account over its bound; negative if there was none.
    double run()
    {
        m_fleet.advance(Duration(static_cast<Duration::rep>(m_random.below(9'000'000))));
        for (int i = 0; i < 10; ++i) {
            injectFault();
            m_fleet.advance(Duration(static_cast<Duration::rep>(m_random.below(2'000'000))));
        }
        return m_fleet.maxOverBound();
    }
    AccountFleet &fleet() { return m_fleet; }

private:
    AccountFleet::Parameters parametersOf(const AccountLimitOptions &options)
    {
        constexpr std::size_t MIN_DAEMONS = 8;
        AccountFleet::Parameters parameters;
        parameters.options = options;
        parameters.daemons = MIN_DAEMONS + m_random.below(17);
        parameters.domains = 2 + m_random.below(3);
        parameters.lossShare = m_random.below(2) == 0 ? 0 : 0.2 * m_random.unit();
        parameters.delay = std::chrono::milliseconds(1 + m_random.below(10));
        return parameters;
    }

    AccountFleet::Account makeAccount(std::size_t index)
    {
        AccountFleet::Account account;
        account.name = AccountName("account-" + std::to_string(index));
        account.limit.rate = 8 + static_cast<double>(m_random.below(80));
        account.limit.burst = account.limit.rate;
        account.demand = account.limit.rate * 0.6;
        const std::size_t callers = 1 + m_random.below(m_fleet.size());
        for (std::size_t i = 0; i < callers; ++i) {
            account.callers.push_back(m_random.below(m_fleet.size()));
        }
        return account;
    }

    void injectFault()
    {
        const std::size_t daemon = m_random.below(m_fleet.size());
        const std::size_t account = m_random.below(ACCOUNTS);
        const double rate = m_fleet.accounts()[account].limit.rate;
        switch (m_random.below(9)) {
        case 0:
            m_fleet.partition(m_fleet.domain(0));
            break;
        case 1:
            m_fleet.partition({ daemon });
            break;
        case 2:
            m_fleet.partition({});
            break;
        case 3:
            killOrRestart(daemon);
            break;
        case 4:
            pauseOrResume(daemon);
            break;
        case 5:
            losePower();
            break;
        case 6:
            m_fleet.setLimit(account, { rate / 2 + 4, rate / 2 + 4 }, 2500ms);
            break;
        case 7:
            m_fleet.setLimit(account, { rate + 50, rate + 50 }, 2500ms);
            break;
        default:
            m_fleet.setDemand(account, rate * (0.3 + 5 * m_random.unit()));
            break;
        }
    }

    void killOrRestart(std::size_t daemon)
    {
        if (m_fleet.isUp(daemon)) {
            m_fleet.kill(daemon);
        } else {
            m_fleet.restart(daemon);
        }
    }

    void pauseOrResume(std::size_t daemon)
    {
        if (m_fleet.isPaused(daemon)) {
            m_fleet.resume(daemon);
        } else {
            m_fleet.pause(daemon);
        }
    }

    void losePower()
    {
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            m_fleet.kill(i);
        }
        m_fleet.advance(900ms);
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            m_fleet.restart(i);
        }
    }

    SeededRandom m_random;
    AccountFleet m_fleet;
};

std::size_t countViolations(const AccountLimitOptions &options, std::uint64_t first,
                            std::uint64_t seeds)
{
    std::size_t violations = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        violations += Schedule(seed, options).run() > 0 ? 1 : 0;
    }
    return violations;
}

} // namespace

TEST_GROUP(AccountSchedules){};

// Guards against limits that are exceeded while daemons are partitioned, paused, killed or started.
TEST(AccountSchedules, BoundHoldsUnderRandomFaults)
{
    LONGS_EQUAL(0, countViolations({}, 1, SEEDS));
}
