#include "coordination/admission/internal/accountshares.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace ivyspar {

namespace {

constexpr double MICROS_PER_SECOND = 1e6;
/// Inactive accounts removed per request: more than one, so that they cannot accumulate.
constexpr int REMOVALS_PER_REQUEST = 2;

/// Sorts the first `count` elements to the front. Returns their end.
template <typename Iterator, typename Less>
Iterator sortFirst(Iterator begin, Iterator end, std::size_t count, const Less &less)
{
    const auto sorted = begin + std::min(static_cast<std::ptrdiff_t>(count), end - begin);
    std::partial_sort(begin, sorted, end, less);
    return sorted;
}

} // namespace

std::unique_ptr<IAccountShares> makeAccountShares(const AccountSharesOptions &options)
{
    return std::make_unique<AccountShares>(options);
}

AccountShares::AccountShares(const AccountSharesOptions &options)
    : m_options(options)
{
}

AccountShares::~AccountShares()
{
    m_byLastUse.clear();
}

AccountVerdict AccountShares::admit(TimePoint now, const AccountClaim &claim,
                                    const AccountRequest &request)
{
    removeInactive(now);
    auto &entry =
        *m_groups.try_emplace(GroupKey(request.bottleneck, request.priority), m_options).first;
    Group &group = entry.second;
    group.level.addRoom(now, request.room, request.cost);
    Account &account = accountOf(now, entry, claim.account);
    account.weight = claim.weight;
    account.demand.add(now, request.cost, m_options.demandAveragingTime);
    if (claim.weight > 0) {
        group.level.recordDemand(
            now, account.demand.rate(now, m_options.demandAveragingTime) / claim.weight);
    }
    refill(now, group, request, claim.minRelativeShare, account);

    const bool entitled = isEntitled(now, group, request, account);
    AccountVerdict verdict;
    verdict.isEntitled = entitled;
    verdict.isAdmitted = group.level.admits(entitled);
    group.level.record(entitled, verdict.isAdmitted, request.cost);
    if (!verdict.isAdmitted) {
        return verdict;
    }
    account.credit = std::max(account.credit - request.cost,
                              -std::max(maxCredit(now, account, group), request.cost));
    account.admitted.add(now, request.cost, m_options.demandAveragingTime);
    return verdict;
}

AccountShares::Account &AccountShares::accountOf(TimePoint now, Groups::value_type &group,
                                                 const AccountName &name)
{
    const auto [found, isNew] = m_accounts.try_emplace(AccountKey{ &group.second, name });
    Account &account = found->second;
    if (isNew) {
        account.key = &found->first;
        account.groupKey = &group.first;
        account.updatedAt = now - m_options.retention;
        // A full window without demand: a single request does not define a rate.
        account.demand.add(now - m_options.demandAveragingTime, 0, m_options.demandAveragingTime);
    } else {
        m_byLastUse.erase(m_byLastUse.iterator_to(account));
    }
    m_byLastUse.push_back(account);
    return account;
}

void AccountShares::removeInactive(TimePoint now)
{
    for (int i = 0; i < REMOVALS_PER_REQUEST && !m_byLastUse.empty(); ++i) {
        Account &oldest = m_byLastUse.front();
        if (m_accounts.size() < m_options.maxAccounts
            && now - oldest.updatedAt < m_options.retention) {
            return;
        }
        remove(oldest);
    }
}

void AccountShares::remove(Account &account)
{
    m_byLastUse.erase(m_byLastUse.iterator_to(account));
    const AccountKey key = *account.key;
    m_accounts.erase(key);
}

double AccountShares::fairRate(const Account &account, const Group &group) const
{
    return account.weight * group.level.value();
}

/// By the demand, not by the level: a level that falls for a moment must take no credit away.
double AccountShares::maxCredit(TimePoint now, const Account &account, const Group &group) const
{
    const double demand = account.demand.rate(now, m_options.demandAveragingTime);
    return std::max(m_options.minCredit * group.level.meanCost(),
                    demand * toSeconds(m_options.creditTime));
}

void AccountShares::refill(TimePoint now, const Group &group, const AccountRequest &request,
                           double minRelativeShare, Account &account) const
{
    const double passed = toSeconds(now - account.updatedAt);
    account.updatedAt = now;
    const double least = minRelativeShare * std::min(request.share, 1.0) * request.cost;
    const double gained = std::max(fairRate(account, group) * passed, least);
    account.credit = std::min(account.credit + gained, maxCredit(now, account, group));
}

/// Cut accounts get fewer of their expensive requests admitted, as all requests do without
/// accounts: the more they are cut, the closer to the ratio of the shares of the rules.
bool AccountShares::isEntitled(TimePoint now, Group &group, const AccountRequest &request,
                               const Account &account) const
{
    if (account.credit <= 0) {
        return false;
    }
    const double demand = account.demand.rate(now, m_options.demandAveragingTime);
    const double fairShare = std::min(fairRate(account, group) / demand, 1.0);
    if (request.relativeShare >= 1 || account.weight <= 0 || fairShare >= 1) {
        return true;
    }
    group.startCredit += std::pow(request.relativeShare, 1 - fairShare);
    if (group.startCredit < 1) {
        return false;
    }
    group.startCredit -= 1;
    return true;
}

AccountShareStatus AccountShares::status(TimePoint now, const AccountName &account,
                                         const ServiceName &bottleneck, Priority priority) const
{
    const auto group = m_groups.find(GroupKey(bottleneck, priority));
    if (group == m_groups.end()) {
        return {};
    }
    const auto found = m_accounts.find(AccountKey{ &group->second, account });
    return found == m_accounts.end() ? AccountShareStatus() : statusOf(now, found->second);
}

AccountShareStatus AccountShares::statusOf(TimePoint now, const Account &account) const
{
    AccountShareStatus status;
    status.account = account.key->account;
    status.bottleneck = account.groupKey->first;
    status.priority = account.groupKey->second;
    const Duration time = m_options.demandAveragingTime;
    status.demandSlots = account.demand.rate(now, time) / MICROS_PER_SECOND;
    status.admittedSlots = account.admitted.rate(now, time) / MICROS_PER_SECOND;
    status.fairSlots = fairRate(account, *account.key->group) / MICROS_PER_SECOND;
    return status;
}

std::vector<AccountShareStatus> AccountShares::statuses(TimePoint now, std::size_t count) const
{
    struct Ranked
    {
        const Account *account = nullptr;
        double admitted = 0;
        double refused = 0;
    };
    const Duration time = m_options.demandAveragingTime;
    std::vector<Ranked> ranked;
    ranked.reserve(m_accounts.size());
    for (const auto &[key, account] : m_accounts) {
        const double admitted = account.admitted.rate(now, time);
        ranked.push_back({ &account, admitted, account.demand.rate(now, time) - admitted });
    }
    const auto middle =
        sortFirst(ranked.begin(), ranked.end(), count,
                  [](const Ranked &a, const Ranked &b) { return a.admitted > b.admitted; });
    const auto end = sortFirst(middle, ranked.end(), count, [](const Ranked &a, const Ranked &b) {
        return a.refused > b.refused;
    });
    std::vector<AccountShareStatus> all;
    std::transform(ranked.begin(), end, std::back_inserter(all),
                   [this, now](const Ranked &each) { return statusOf(now, *each.account); });
    return all;
}

} // namespace ivyspar
