#include "coordination/accounts/internal/sharedaccountlimits.h"

#include <algorithm>
#include <utility>

#include "coordination/accounts/internal/equalaccountlimits.h"

namespace ivyspar {

namespace {

/// Interval between removals of unused accounts.
constexpr Duration CLEANUP_INTERVAL = std::chrono::seconds(5);

} // namespace

std::unique_ptr<IAccountLimits> makeAccountLimits(TimePoint now, IRandom &random,
                                                  const AccountLimitOptions &options)
{
    if (!options.hasHomes) {
        return std::make_unique<EqualAccountLimits>(options);
    }
    return std::make_unique<SharedAccountLimits>(now, random, options);
}

SharedAccountLimits::SharedAccountLimits(TimePoint now, IRandom &random,
                                         const AccountLimitOptions &options)
    : m_random(random)
    , m_options(options)
    , m_placement(now, m_options)
    , m_cleanedUpAt(now)
{
}

/// Drops the buckets of accounts whose home moved away: should it move back, their state would be
/// outdated.
void SharedAccountLimits::setMembers(TimePoint now, const DaemonId &self,
                                     const std::vector<AccountMember> &members)
{
    m_placement.setMembers(now, self, members);
    m_peerStates.clear();
    for (auto it = m_homes.begin(); it != m_homes.end();) {
        it = m_placement.homeOf(it->first) == self ? std::next(it) : m_homes.erase(it);
    }
}

void SharedAccountLimits::setLimits(TimePoint /*now*/, AccountLimits limits)
{
    m_limits = std::move(limits);
    m_meanRate = meanRateOf(m_limits);
}

AccountDecision SharedAccountLimits::take(TimePoint now, const AccountName &account,
                                          TimePoint since)
{
    const AccountLimit *limit = limitOf(account);
    if (!limit) {
        return {};
    }
    removeExpired(now);
    AccountTokenCache &cache = tokenCacheOf(now, account);
    if (since == now) {
        cache.recordDemand(now);
    }
    if (const auto unanswered = cache.expirePendingRequest(now)) {
        recordUnanswered(now, *unanswered);
    }
    if (cache.take(now)) {
        if (cache.isLow(now, *limit) && now >= cache.emptyUntil()) {
            requestTokens(now, account, *limit, cache, 0);
        }
        return {};
    }
    return takeFromHome(now, account, *limit, cache, since);
}

AccountDecision SharedAccountLimits::takeFromHome(TimePoint now, const AccountName &account,
                                                  const AccountLimit &limit,
                                                  AccountTokenCache &cache, TimePoint since)
{
    if (now < cache.emptyUntil()) {
        return waitOrRefuse(now, cache, since);
    }
    requestTokens(now, account, limit, cache, 1);
    if (cache.take(now)) {
        return {};
    }
    if (!requestTarget(now, account)) {
        return takeFromLease(now, limit, cache);
    }
    if (cache.pendingRequest()) {
        return AccountDecision{ AccountAction::Wait,
                                cache.pendingRequest()->sentAt + m_options.requestTimeout,
                                {} };
    }
    // This daemon answered the request itself, as home or fallback, and the bucket is empty.
    return waitOrRefuse(now, cache, since);
}

AccountDecision SharedAccountLimits::waitOrRefuse(TimePoint now, AccountTokenCache &cache,
                                                  TimePoint since)
{
    if (cache.emptyUntil() - since <= m_options.maxWait) {
        return AccountDecision{ AccountAction::Wait, cache.emptyUntil(), {} };
    }
    return refuse(now, cache, cache.retryAfter());
}

AccountDecision SharedAccountLimits::takeFromLease(TimePoint now, const AccountLimit &limit,
                                                   AccountTokenCache &cache)
{
    if (cache.takeFromLease(now, limit)) {
        return {};
    }
    const Duration timeUntilToken =
        cache.timeUntilLeaseToken(now, limit).value_or(m_options.maxRetryAfter / 3);
    return refuse(now, cache,
                  std::clamp(timeUntilToken, m_options.minRetryAfter, m_options.maxRetryAfter));
}

/// Adds jitter of ±25 %, so that callers that are refused together do not retry together.
AccountDecision SharedAccountLimits::refuse(TimePoint now, AccountTokenCache &cache,
                                            Duration retryAfter)
{
    cache.recordRefusal(now);
    const auto quarter =
        static_cast<std::uint64_t>(std::max<Duration::rep>(retryAfter.count() / 4, 1));
    const Duration spread(static_cast<Duration::rep>(m_random.below(2 * quarter)));
    return AccountDecision{ AccountAction::Refuse, now, retryAfter - retryAfter / 4 + spread };
}

void SharedAccountLimits::requestTokens(TimePoint now, const AccountName &account,
                                        const AccountLimit &limit, AccountTokenCache &cache,
                                        std::uint32_t waiting)
{
    const std::optional<DaemonId> target = requestTarget(now, account);
    if (cache.pendingRequest() || !target) {
        return;
    }
    const bool isForFallback = *target != m_placement.homeOf(account);
    cache.recordRequest({ ++m_lastNumber, *target, isForFallback, now });
    const TokenDemand demand = cache.demand(now, account, limit, waiting);
    if (*target == m_placement.self()) {
        cache.receive(now, answer(now, *target, isForFallback, demand));
        return;
    }
    m_outgoing.push_back({ *target, TokenRequest{ m_lastNumber, isForFallback, { demand } } });
}

std::optional<DaemonId> SharedAccountLimits::requestTarget(TimePoint now,
                                                           const AccountName &account) const
{
    const DaemonId &home = m_placement.homeOf(account);
    if (!isUnresponsive(now, home)) {
        return home;
    }
    const DaemonId &fallback = m_placement.fallbackOf(account);
    return isUnresponsive(now, fallback) ? std::nullopt : std::optional(fallback);
}

bool SharedAccountLimits::isUnresponsive(TimePoint now, const DaemonId &daemon) const
{
    const auto found = m_peerStates.find(daemon);
    return found != m_peerStates.end() && now < found->second.until;
}

void SharedAccountLimits::recordUnanswered(TimePoint now, const DaemonId &daemon)
{
    PeerState &state = m_peerStates[daemon];
    if (++state.unanswered >= m_options.maxUnansweredRequests) {
        state.until = now + m_options.unresponsiveTime;
    }
}

TokenGrant SharedAccountLimits::answer(TimePoint now, const DaemonId &entry, bool isForFallback,
                                       const TokenDemand &demand)
{
    const AccountLimit *limit = limitOf(demand.account);
    const bool isHome = m_placement.homeOf(demand.account) == m_placement.self();
    if (!limit || (!isHome && !isForFallback)) {
        TokenGrant grant;
        grant.account = demand.account;
        grant.isFromHome = false;
        return grant;
    }
    auto &homes = isHome ? m_homes : m_fallbacks;
    const TimePoint since = isHome ? m_placement.changedAt() : now;
    const auto home = homes
                          .emplace(std::piecewise_construct, std::forward_as_tuple(demand.account),
                                   std::forward_as_tuple(since, !isHome, m_options, m_placement))
                          .first;
    return home->second.grantTokens(now, *limit, entry, demand);
}

void SharedAccountLimits::receive(TimePoint now, const DaemonId &from,
                                  const AccountMessage &message, std::vector<AccountName> &granted)
{
    if (const auto *response = std::get_if<TokenResponse>(&message)) {
        receiveResponse(now, from, *response, granted);
        return;
    }
    const auto &request = std::get<TokenRequest>(message);
    TokenResponse response;
    response.number = request.number;
    for (const TokenDemand &demand : request.demands) {
        response.grants.push_back(answer(now, from, request.isForFallback, demand));
    }
    m_outgoing.push_back({ from, std::move(response) });
}

void SharedAccountLimits::receiveResponse(TimePoint now, const DaemonId &from,
                                          const TokenResponse &response,
                                          std::vector<AccountName> &granted)
{
    m_peerStates.erase(from);
    for (const TokenGrant &grant : response.grants) {
        const auto found = m_tokenCaches.find(grant.account);
        if (found == m_tokenCaches.end()) {
            continue;
        }
        AccountTokenCache &cache = found->second;
        const auto &pendingRequest = cache.pendingRequest();
        if (!pendingRequest || pendingRequest->number != response.number
            || pendingRequest->target != from) {
            continue;
        }
        if (cache.receive(now, grant)) {
            granted.push_back(grant.account);
        }
        if (!grant.isFromHome) {
            // One of the two daemons has an outdated list of members or limits.
            m_peerStates[from].until = now + m_options.requestTimeout;
        }
    }
}

OutgoingAccountMessages SharedAccountLimits::takeOutgoing()
{
    return std::exchange(m_outgoing, {});
}

void SharedAccountLimits::refund(TimePoint now, const AccountName &account)
{
    const auto found = m_tokenCaches.find(account);
    if (found != m_tokenCaches.end()) {
        found->second.refund(now);
    }
}

/// The lease is the part of the demand that arrives here, over some ten seconds. An entry without a
/// lease, or with a small one that is still to grow, has an equal part.
double SharedAccountLimits::localRate(TimePoint now, const AccountName &account) const
{
    const AccountLimit *limit = limitOf(account);
    const auto cache = m_tokenCaches.find(account);
    const double lease = limit && cache != m_tokenCaches.end() ? cache->second.leaseShare(now) : 0;
    return (limit ? limit->rate : m_meanRate) * std::max(lease, m_placement.equalPart());
}

std::vector<AccountStatus> SharedAccountLimits::statuses(TimePoint now) const
{
    std::vector<AccountStatus> all;
    for (const auto &[account, cache] : m_tokenCaches) {
        const AccountLimit *limit = limitOf(account);
        if (limit) {
            all.push_back({ account, *limit, cache.demandRate(now), cache.refusedRate(now),
                            m_placement.homeOf(account) == m_placement.self(),
                            !requestTarget(now, account) });
        }
    }
    return all;
}

const AccountLimit *SharedAccountLimits::limitOf(const AccountName &account) const
{
    const auto found = m_limits.find(account);
    return found == m_limits.end() ? nullptr : &found->second;
}

AccountTokenCache &SharedAccountLimits::tokenCacheOf(TimePoint now, const AccountName &account)
{
    return m_tokenCaches
        .emplace(std::piecewise_construct, std::forward_as_tuple(account),
                 std::forward_as_tuple(now, m_options))
        .first->second;
}

/// Removes unused entries, so that memory does not grow with every account ever seen.
void SharedAccountLimits::removeExpired(TimePoint now)
{
    if (now - m_cleanedUpAt < CLEANUP_INTERVAL) {
        return;
    }
    m_cleanedUpAt = now;
    for (auto it = m_tokenCaches.begin(); it != m_tokenCaches.end();) {
        const bool isIdle = now - it->second.lastUsedAt() > m_options.leaseDuration;
        it = isIdle ? m_tokenCaches.erase(it) : std::next(it);
    }
    const auto removeIdleHomes = [now](auto &homes, Duration life) {
        for (auto it = homes.begin(); it != homes.end();) {
            it = now - it->second.lastRequestAt() > life ? homes.erase(it) : std::next(it);
        }
    };
    removeIdleHomes(m_homes, 2 * m_options.leaseDuration);
    removeIdleHomes(m_fallbacks, m_options.leaseDuration);
}

} // namespace ivyspar
