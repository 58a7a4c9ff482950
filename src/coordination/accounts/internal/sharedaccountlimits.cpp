#include "coordination/accounts/internal/sharedaccountlimits.h"

#include <algorithm>
#include <utility>

#include "coordination/accounts/internal/equalaccountlimits.h"

namespace ivyspar {

namespace {

/// How often what nobody uses is looked for.
constexpr Duration FORGET_INTERVAL = std::chrono::seconds(5);

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
    , m_places(now, m_options)
    , m_forgotAt(now)
{
}

/// An account that has another home now is forgotten here: if it comes back, what was counted
/// meanwhile is not known.
void SharedAccountLimits::setMembers(TimePoint now, const DaemonId &self,
                                     const std::vector<AccountMember> &members)
{
    m_places.setMembers(now, self, members);
    m_silences.clear();
    for (auto it = m_homes.begin(); it != m_homes.end();) {
        it = m_places.homeOf(it->first) == self ? std::next(it) : m_homes.erase(it);
    }
}

void SharedAccountLimits::setLimits(TimePoint /*now*/, AccountLimits limits)
{
    m_limits = std::move(limits);
}

AccountDecision SharedAccountLimits::take(TimePoint now, const AccountName &account,
                                          TimePoint since)
{
    const AccountLimit *limit = limitOf(account);
    if (!limit) {
        return {};
    }
    forget(now);
    AccountStock &stock = stockOf(now, account);
    if (since == now) {
        stock.noteDemand(now);
    }
    if (const auto unanswered = stock.expireQuestion(now)) {
        noteUnanswered(now, *unanswered);
    }
    if (stock.take(now)) {
        if (stock.isLow(now, *limit) && now >= stock.emptyUntil()) {
            ask(now, account, *limit, stock, 0);
        }
        return {};
    }
    return takeFromHome(now, account, *limit, stock, since);
}

AccountDecision SharedAccountLimits::takeFromHome(TimePoint now, const AccountName &account,
                                                  const AccountLimit &limit, AccountStock &stock,
                                                  TimePoint since)
{
    if (now < stock.emptyUntil()) {
        return waitOrRefuse(now, stock, since);
    }
    ask(now, account, limit, stock, 1);
    if (stock.take(now)) {
        return {};
    }
    if (!whomToAsk(now, account)) {
        return takeFromLease(now, limit, stock);
    }
    if (stock.question()) {
        return AccountDecision{ AccountAction::Wait,
                                stock.question()->sentAt + m_options.askTimeout,
                                {} };
    }
    // This daemon is the home, and the bucket is empty.
    return waitOrRefuse(now, stock, since);
}

AccountDecision SharedAccountLimits::waitOrRefuse(TimePoint now, AccountStock &stock,
                                                  TimePoint since)
{
    if (stock.emptyUntil() - since <= m_options.longestWait) {
        return AccountDecision{ AccountAction::Wait, stock.emptyUntil(), {} };
    }
    return refuse(now, stock, stock.retryAfter());
}

AccountDecision SharedAccountLimits::takeFromLease(TimePoint now, const AccountLimit &limit,
                                                   AccountStock &stock)
{
    if (stock.takeFromLease(now, limit)) {
        return {};
    }
    const Duration timeUntilToken =
        stock.timeUntilLeaseToken(now, limit).value_or(m_options.longestReturn / 3);
    return refuse(now, stock,
                  std::clamp(timeUntilToken, m_options.shortestReturn, m_options.longestReturn));
}

/// Spread by a quarter, so that callers that are refused together do not come back together.
AccountDecision SharedAccountLimits::refuse(TimePoint now, AccountStock &stock, Duration retryAfter)
{
    stock.noteRefused(now);
    const auto quarter =
        static_cast<std::uint64_t>(std::max<Duration::rep>(retryAfter.count() / 4, 1));
    const Duration spread(static_cast<Duration::rep>(m_random.below(2 * quarter)));
    return AccountDecision{ AccountAction::Refuse, now, retryAfter - retryAfter / 4 + spread };
}

void SharedAccountLimits::ask(TimePoint now, const AccountName &account, const AccountLimit &limit,
                              AccountStock &stock, std::uint32_t waiting)
{
    const std::optional<DaemonId> asked = whomToAsk(now, account);
    if (stock.question() || !asked) {
        return;
    }
    const bool isForDeputy = *asked != m_places.homeOf(account);
    stock.noteAsked({ ++m_lastNumber, *asked, isForDeputy, now });
    const TokenDemand demand = stock.demand(now, account, limit, waiting);
    if (*asked == m_places.self()) {
        stock.receive(now, answer(now, *asked, isForDeputy, demand));
        return;
    }
    m_outgoing.push_back({ *asked, TokenRequest{ m_lastNumber, isForDeputy, { demand } } });
}

std::optional<DaemonId> SharedAccountLimits::whomToAsk(TimePoint now,
                                                       const AccountName &account) const
{
    const DaemonId &home = m_places.homeOf(account);
    if (!isSilent(now, home)) {
        return home;
    }
    const DaemonId &deputy = m_places.deputyOf(account);
    return isSilent(now, deputy) ? std::nullopt : std::optional(deputy);
}

bool SharedAccountLimits::isSilent(TimePoint now, const DaemonId &daemon) const
{
    const auto found = m_silences.find(daemon);
    return found != m_silences.end() && now < found->second.until;
}

void SharedAccountLimits::noteUnanswered(TimePoint now, const DaemonId &daemon)
{
    Silence &silence = m_silences[daemon];
    if (++silence.unanswered >= m_options.mostAsks) {
        silence.until = now + m_options.silence;
    }
}

TokenGrant SharedAccountLimits::answer(TimePoint now, const DaemonId &entry, bool isForDeputy,
                                       const TokenDemand &demand)
{
    const AccountLimit *limit = limitOf(demand.account);
    const bool isHome = m_places.homeOf(demand.account) == m_places.self();
    if (!limit || (!isHome && !isForDeputy)) {
        TokenGrant grant;
        grant.account = demand.account;
        grant.isFromHome = false;
        return grant;
    }
    auto &homes = isHome ? m_homes : m_deputies;
    const TimePoint since = isHome ? m_places.changedAt() : now;
    const auto home = homes
                          .emplace(std::piecewise_construct, std::forward_as_tuple(demand.account),
                                   std::forward_as_tuple(since, !isHome, m_options, m_places))
                          .first;
    return home->second.give(now, *limit, entry, demand);
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
        response.grants.push_back(answer(now, from, request.isForDeputy, demand));
    }
    m_outgoing.push_back({ from, std::move(response) });
}

void SharedAccountLimits::receiveResponse(TimePoint now, const DaemonId &from,
                                          const TokenResponse &response,
                                          std::vector<AccountName> &granted)
{
    m_silences.erase(from);
    for (const TokenGrant &grant : response.grants) {
        const auto found = m_stocks.find(grant.account);
        if (found == m_stocks.end()) {
            continue;
        }
        AccountStock &stock = found->second;
        const auto &question = stock.question();
        if (!question || question->number != response.number || question->asked != from) {
            continue;
        }
        if (stock.receive(now, grant)) {
            granted.push_back(grant.account);
        }
        if (!grant.isFromHome) {
            // Either daemon has not heard yet who is there.
            m_silences[from].until = now + m_options.askTimeout;
        }
    }
}

OutgoingAccountMessages SharedAccountLimits::takeOutgoing()
{
    return std::exchange(m_outgoing, {});
}

void SharedAccountLimits::giveBack(TimePoint now, const AccountName &account)
{
    const auto found = m_stocks.find(account);
    if (found != m_stocks.end()) {
        found->second.giveBack(now);
    }
}

std::vector<AccountStatus> SharedAccountLimits::statuses(TimePoint now) const
{
    std::vector<AccountStatus> all;
    for (const auto &[account, stock] : m_stocks) {
        const AccountLimit *limit = limitOf(account);
        if (limit) {
            all.push_back({ account, *limit, stock.demandRate(now), stock.refusedRate(now),
                            m_places.homeOf(account) == m_places.self(),
                            !whomToAsk(now, account) });
        }
    }
    return all;
}

const AccountLimit *SharedAccountLimits::limitOf(const AccountName &account) const
{
    const auto found = m_limits.find(account);
    return found == m_limits.end() ? nullptr : &found->second;
}

AccountStock &SharedAccountLimits::stockOf(TimePoint now, const AccountName &account)
{
    return m_stocks
        .emplace(std::piecewise_construct, std::forward_as_tuple(account),
                 std::forward_as_tuple(now, m_options))
        .first->second;
}

/// What is not used any more, so that memory does not grow with all accounts that ever came by.
void SharedAccountLimits::forget(TimePoint now)
{
    if (now - m_forgotAt < FORGET_INTERVAL) {
        return;
    }
    m_forgotAt = now;
    for (auto it = m_stocks.begin(); it != m_stocks.end();) {
        const bool isIdle = now - it->second.usedAt() > m_options.leaseLife;
        it = isIdle ? m_stocks.erase(it) : std::next(it);
    }
    const auto forgetHomes = [now](auto &homes, Duration life) {
        for (auto it = homes.begin(); it != homes.end();) {
            it = now - it->second.askedAt() > life ? homes.erase(it) : std::next(it);
        }
    };
    forgetHomes(m_homes, 2 * m_options.leaseLife);
    forgetHomes(m_deputies, m_options.leaseLife);
}

} // namespace ivyspar
