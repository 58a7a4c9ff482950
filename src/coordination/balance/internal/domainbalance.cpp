#include "coordination/balance/internal/domainbalance.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

#include "coordination/balance/internal/sharetargets.h"

namespace ivyspar {

namespace {

Duration ageOf(TimePoint now, TimePoint at)
{
    return std::max(std::chrono::duration_cast<Duration>(now - at), Duration::zero());
}

} // namespace

std::unique_ptr<IDomainBalance> makeDomainBalance(const DomainBalanceOptions &options)
{
    return std::make_unique<DomainBalance>(options);
}

DomainBalance::DomainBalance(const DomainBalanceOptions &options)
    : m_options(options)
    , m_meter(m_options)
{
}

void DomainBalance::setMembers(TimePoint now, const DaemonId &self,
                               const std::vector<Member> &members)
{
    m_tree.setMembers(self, members);
    m_isNeeded = m_isNeeded || hasServiceInSeveralDomains(members);
    std::set<DaemonId> present;
    std::set<DomainName> domains;
    for (const Member &member : members) {
        present.insert(member.id);
        domains.insert(member.domain);
    }
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        it = present.count(it->first) > 0 ? std::next(it) : m_reports.erase(it);
    }
    for (SumsByDomain *sums : { &m_otherDomains, &m_sums }) {
        for (auto it = sums->begin(); it != sums->end();) {
            it = domains.count(it->first) > 0 ? std::next(it) : sums->erase(it);
        }
    }
    updateShares(now);
}

bool DomainBalance::hasServiceInSeveralDomains(const std::vector<Member> &members)
{
    std::map<ServiceName, DomainName> domains;
    for (const Member &member : members) {
        for (const UpstreamInfo &upstream : member.upstreams) {
            const auto [known, isNew] = domains.try_emplace(upstream.service, member.domain);
            if (!isNew && known->second != member.domain) {
                return true;
            }
        }
    }
    return false;
}

void DomainBalance::onCall(TimePoint now, const ServiceName &service, DemandShare admittedShare)
{
    m_meter.onCall(now, service, admittedShare);
}

void DomainBalance::onAnswer(TimePoint now, const ServiceName &service, Duration slotTime,
                             SpeedShare speed)
{
    m_meter.onAnswer(now, service, slotTime, speed);
}

void DomainBalance::setCapacities(std::unordered_map<ServiceName, double> capacities)
{
    m_capacities = std::move(capacities);
}

void DomainBalance::receive(TimePoint now, const DaemonId &from, const BalanceMessage &message)
{
    if (const auto *report = std::get_if<BalanceReport>(&message)) {
        receiveReport(now, from, *report);
        return;
    }
    receiveNews(now, std::get<BalanceNews>(message));
}

void DomainBalance::receiveReport(TimePoint now, const DaemonId &from, const BalanceReport &report)
{
    const auto [known, isNew] = m_reports.try_emplace(from);
    const bool isExpired = ageOf(now, known->second.at) > m_options.reportLifetime;
    // A restarted daemon counts its rounds from the start.
    if (isNew || isExpired || report.round > known->second.round) {
        known->second = { report.round, now, report.reporters, report.services };
    }
}

void DomainBalance::receiveNews(TimePoint now, const BalanceNews &news)
{
    const bool isOwnDomain = news.originDomain == m_tree.domain();
    if (news.origin == m_tree.self()) {
        return;
    }
    const auto known = m_otherDomains.find(news.originDomain);
    const bool isKnown = known != m_otherDomains.end() && isFresh(now, known->second);
    Sums &last = isOwnDomain ? m_lastNews : m_otherDomains[news.originDomain];
    if (!isNewer(now, last, news)) {
        return;
    }
    last.origin = news.origin;
    last.round = news.round;
    last.receivedAt = now;
    SumsByDomain sums;
    for (const DomainSum &each : news.domains) {
        sums[each.domain].madeAt = now - each.age;
    }
    for (const ServiceSums &service : news.services) {
        for (const DomainWork &each : service.domains) {
            sums[each.domain].services[service.service] = each;
        }
    }
    if (!isOwnDomain) {
        last.madeAt = sums[news.originDomain].madeAt;
        last.services = std::move(sums[news.originDomain].services);
        if (!isKnown && m_tree.isSumming()) {
            tellDomain(now);
        }
        return;
    }
    m_sums = std::move(sums);
    relay(news);
    updateShares(now);
}

bool DomainBalance::isNewer(TimePoint now, const Sums &last, const BalanceNews &news) const
{
    if (ageOf(now, last.receivedAt) > m_options.newsLifetime) {
        return true;
    }
    if (last.origin == news.origin) {
        return news.round > last.round;
    }
    // While members differ in their view, two daemons may sum: the one chosen here goes first.
    return news.origin == m_tree.summing() || last.origin != m_tree.summing();
}

void DomainBalance::tick(TimePoint now)
{
    if (!m_isNeeded) {
        return;
    }
    ++m_round;
    receiveReport(now, m_tree.self(), makeOwnReport(now));
    if (m_tree.isSumming()) {
        tellSums(now);
        tellDomain(now);
    } else {
        m_outgoing.push_back({ m_tree.reportTarget(m_tree.self()), collect(now) });
    }
    updateShares(now);
}

BalanceReport DomainBalance::makeOwnReport(TimePoint now)
{
    BalanceReport report{ m_round, 1, m_meter.report(now) };
    for (const auto &[service, capacity] : m_capacities) {
        const auto found =
            std::find_if(report.services.begin(), report.services.end(),
                         [&name = service](const auto &each) { return each.service == name; });
        if (found != report.services.end()) {
            found->capacity = capacity;
        } else {
            report.services.push_back({ service, 0, Duration::zero(), capacity });
        }
    }
    return report;
}

BalanceReport DomainBalance::collect(TimePoint now) const
{
    struct Total
    {
        double calls = 0;
        double measuredCalls = 0;
        double measuredWork = 0;
        double capacity = 0;
    };
    std::map<ServiceName, Total> totals;
    BalanceReport sum;
    sum.round = m_round;
    sum.reporters = 0;
    for (const auto &[daemon, report] : m_reports) {
        // A daemon that now reports to another one would be counted twice.
        const bool isForThis =
            daemon == m_tree.self() || m_tree.reportTarget(daemon) == m_tree.self();
        if (!isForThis || ageOf(now, report.at) > m_options.reportLifetime) {
            continue;
        }
        sum.reporters += report.reporters;
        for (const ReportedWork &each : report.services) {
            Total &total = totals[each.service];
            total.calls += each.calls;
            total.capacity += each.capacity;
            if (each.workPerCall > Duration::zero()) {
                total.measuredCalls += each.calls;
                total.measuredWork += each.calls * static_cast<double>(each.workPerCall.count());
            }
        }
    }
    for (const auto &[service, total] : totals) {
        // Daemons whose calls were all refused do not know the work of a call.
        const double workUs =
            total.measuredCalls > 0 ? total.measuredWork / total.measuredCalls : 0;
        sum.services.push_back(
            { service, total.calls, Duration(std::llround(workUs)), total.capacity });
    }
    return sum;
}

std::optional<DomainBalance::WorkByService> DomainBalance::addUp(TimePoint now) const
{
    const BalanceReport sum = collect(now);
    if (static_cast<double>(sum.reporters)
        < m_options.minReporters * static_cast<double>(m_tree.domainSize())) {
        return std::nullopt;
    }
    WorkByService sums;
    for (const ReportedWork &each : sum.services) {
        const double demand = each.calls * toSeconds(each.workPerCall);
        sums[each.service] = { m_tree.domain(), demand, each.capacity };
    }
    return sums;
}

void DomainBalance::tellSums(TimePoint now)
{
    auto sums = addUp(now);
    if (!sums) {
        return;
    }
    Sums own{ m_tree.self(), m_round, now, now, std::move(*sums) };
    const BalanceNews news = makeNews(now, { { m_tree.domain(), own } });
    m_sums[m_tree.domain()] = std::move(own);
    for (const DaemonId &daemon : m_tree.otherSumming()) {
        m_outgoing.push_back({ daemon, news });
    }
}

/// Uses what the summing daemons of the other domains told, and passes all sums on to the own
/// domain.
void DomainBalance::tellDomain(TimePoint now)
{
    for (const auto &[domain, sums] : m_otherDomains) {
        if (isFresh(now, sums)) {
            m_sums[domain] = sums;
        }
    }
    const auto own = m_sums.find(m_tree.domain());
    if (own == m_sums.end() || own->second.origin != m_tree.self()) {
        return;
    }
    ++m_round;
    relay(makeNews(now, m_sums));
    updateShares(now);
}

BalanceNews DomainBalance::makeNews(TimePoint now, const SumsByDomain &sums) const
{
    BalanceNews news;
    news.round = m_round;
    news.origin = m_tree.self();
    news.originDomain = m_tree.domain();
    std::map<ServiceName, std::vector<DomainWork>> services;
    for (const auto &[domain, each] : sums) {
        if (!isFresh(now, each)) {
            continue;
        }
        news.domains.push_back({ domain, ageOf(now, each.madeAt) });
        for (const auto &[service, work] : each.services) {
            services[service].push_back(work);
        }
    }
    for (auto &[service, domains] : services) {
        news.services.push_back({ service, std::move(domains) });
    }
    return news;
}

void DomainBalance::relay(const BalanceNews &news)
{
    for (const DaemonId &child : m_tree.children(news.origin, news.round, m_options.relayFanOut)) {
        m_outgoing.push_back({ child, news });
    }
}

bool DomainBalance::isFresh(TimePoint now, const Sums &sums) const
{
    return ageOf(now, sums.madeAt) <= m_options.newsLifetime;
}

std::map<ServiceName, std::vector<DomainWork>> DomainBalance::freshWork(TimePoint now) const
{
    std::map<ServiceName, std::vector<DomainWork>> work;
    for (const auto &[domain, sums] : m_sums) {
        if (!isFresh(now, sums)) {
            continue;
        }
        for (const auto &[service, each] : sums.services) {
            work[service].push_back(each);
        }
    }
    return work;
}

void DomainBalance::updateShares(TimePoint now)
{
    const std::optional<Duration> age = newsAge(now);
    m_shares.clear();
    for (const auto &[service, domains] : freshWork(now)) {
        auto targets = targetShares(m_tree.domain(), domains, m_options.targetUtilization);
        if (!targets) {
            m_steady.erase(service);
            continue;
        }
        SteadyShares &steady = m_steady[service];
        steady.update(now, std::move(*targets), m_options.shareTime);
        const auto own = std::find_if(domains.begin(), domains.end(), [this](const auto &each) {
            return each.domain == m_tree.domain();
        });
        m_shares[service] = { steady.shares(), now - age.value_or(Duration::zero()), *own };
    }
}

OutgoingBalanceMessages DomainBalance::takeOutgoing()
{
    return std::exchange(m_outgoing, {});
}

std::optional<Duration> DomainBalance::newsAge(TimePoint now) const
{
    std::optional<Duration> oldest;
    for (const auto &[domain, sums] : m_sums) {
        if (isFresh(now, sums)) {
            oldest = std::max(oldest.value_or(Duration::zero()), ageOf(now, sums.madeAt));
        }
    }
    return oldest;
}

std::vector<BalanceStatus> DomainBalance::statuses(TimePoint now) const
{
    std::vector<BalanceStatus> statuses;
    for (auto &[service, domains] : freshWork(now)) {
        const auto found = m_shares.find(service);
        statuses.push_back(
            { service, std::move(domains),
              found == m_shares.end() ? std::vector<DomainShare>() : found->second.shares });
    }
    return statuses;
}

} // namespace ivyspar
