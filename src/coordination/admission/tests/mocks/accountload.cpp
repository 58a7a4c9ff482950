#include "coordination/admission/tests/mocks/accountload.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>
#include <utility>

namespace ivyspar {

namespace {

constexpr double MICROS_PER_SECOND = 1e6;
/// Least share of accounts without weights of their own, as in a deployment.
constexpr double MIN_RELATIVE_SHARE = 0.25;

} // namespace

AccountLoad::AccountLoad(AccountLoadOptions options, std::vector<ModelAccount> all)
    : accounts(std::move(all))
    , m_options(std::move(options))
    , m_random(m_options.seed)
{
    for (std::size_t i = 0; i < m_options.entries; ++i) {
        m_entries.push_back(makeRootAdmission());
    }
    for (const ModelAccount &each : accounts) {
        m_usual += each.usual;
    }
}

std::vector<ModelAccount> AccountLoad::makeAccounts(std::size_t count)
{
    constexpr double EXPONENT = 0.8;
    std::vector<ModelAccount> all(count);
    for (std::size_t i = 0; i < count; ++i) {
        all[i].usual = std::pow(static_cast<double>(i + 1), -EXPONENT);
    }
    return all;
}

void AccountLoad::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (m_now < end) {
        arrive();
    }
}

void AccountLoad::measure(Duration warmUp, Duration time)
{
    run(warmUp);
    for (ModelAccount &each : accounts) {
        each.asked = each.admitted = each.admittedTime = 0;
    }
    m_asked = m_admitted = m_represented = 0;
    run(time);
    m_measured = time;
}

double AccountLoad::usedRoom() const
{
    const double capacity = m_options.rate * meanCost() / m_options.load;
    return m_admitted / std::min(m_asked, capacity * toSeconds(m_measured));
}

double AccountLoad::worstTenth() const
{
    std::vector<double> shares;
    for (const ModelAccount &each : accounts) {
        if (each.factor <= 1) {
            shares.push_back(each.share());
        }
    }
    std::sort(shares.begin(), shares.end());
    const std::size_t count = shares.size() / 10;
    return std::accumulate(shares.begin(), shares.begin() + static_cast<std::ptrdiff_t>(count), 0.0)
        / static_cast<double>(count);
}

double AccountLoad::demand() const
{
    double total = 0;
    for (const ModelAccount &each : accounts) {
        total += each.usual * each.factor;
    }
    return total;
}

double AccountLoad::meanCost() const
{
    Duration sum{ 0 };
    for (const Duration cost : m_options.costs) {
        sum += cost;
    }
    return toSeconds(sum) / static_cast<double>(m_options.costs.size());
}

std::size_t AccountLoad::drawAccount()
{
    double left = m_random.unit() * demand();
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        left -= accounts[i].usual * accounts[i].factor;
        if (left < 0) {
            return i;
        }
    }
    return accounts.size() - 1;
}

void AccountLoad::arrive()
{
    const double rate = m_options.rate * demand() / m_usual;
    const double pause = -std::log(1 - m_random.unit()) / rate;
    m_now += Duration(std::llround(pause * MICROS_PER_SECOND));
    const std::size_t index = drawAccount();
    decide(index, accounts[index].isAtOneEntry ? 0 : m_random.below(m_entries.size()));
}

double AccountLoad::weightOf(const ModelAccount &account) const
{
    const double part = account.isAtOneEntry ? 1 : 1 / static_cast<double>(m_entries.size());
    return (m_options.hasEqualWeights ? 1 : account.usual) * part;
}

void AccountLoad::decide(std::size_t index, std::size_t entry)
{
    ModelAccount &account = accounts[index];
    const std::size_t rule = account.rule.value_or(m_random.below(m_options.costs.size()));
    const Duration cost = m_options.costs[rule];
    RootTarget target;
    target.rule = RuleName("rule" + std::to_string(rule));
    target.service = ServiceName("front");
    target.priority = account.priority;
    if (m_options.hasClaims) {
        target.claim =
            AccountClaim{ AccountName("account" + std::to_string(index)), weightOf(account),
                          m_options.hasEqualWeights ? MIN_RELATIVE_SHARE : 0 };
    }
    ++account.asked;
    m_asked += toSeconds(cost);
    IRootAdmission &admission = *m_entries[entry];
    if (!admission.admit(m_now, target)) {
        return;
    }
    ++account.admitted;
    account.admittedTime += toSeconds(cost);
    m_admitted += toSeconds(cost);
    const DemandShare share = admission.admittedShare(m_now, target);
    m_represented += toSeconds(cost) * WHOLE_DEMAND.value() / share.value();

    const bool isApart = m_isCut && entry < m_entries.size() / 2;
    DemandEstimate &gate = m_gates[isApart ? 1 : 0];
    gate.onArrival(m_now, share, cost);
    const double slots = m_options.rate * meanCost() / m_options.load
        / DemandEstimateOptions().targetUtilization * (m_isCut ? 0.5 : 1);
    ServiceUsage usage;
    usage.service = ServiceName("narrow");
    usage.busy = cost;
    usage.load = gate.load(m_now, slots);
    admission.onAttemptEnd(m_now, target, { usage }, true);
    admission.onRequestEnd(target, RootResult::Success);
}

} // namespace ivyspar
