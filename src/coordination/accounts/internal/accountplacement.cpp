#include "coordination/accounts/internal/accountplacement.h"

#include <algorithm>
#include <iterator>

#include <xxhash.h>

namespace ivyspar {

namespace {

std::uint64_t hashOf(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    constexpr std::uint64_t FACTOR = 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = (a ^ b) * FACTOR;
    mixed ^= mixed >> 32U;
    return mixed * FACTOR;
}

} // namespace

AccountPlacement::AccountPlacement(TimePoint now, const AccountLimitOptions &options)
    : m_options(options)
    , m_startedAt(now)
    , m_changedAt(now)
{
}

void AccountPlacement::setMembers(TimePoint now, const DaemonId &self,
                                  const std::vector<AccountMember> &members)
{
    m_self = self;
    std::vector<Candidate> candidates;
    for (const AccountMember &member : members) {
        candidates.push_back({ member.daemon, member.domain, hashOf(member.daemon.value()) });
        if (member.daemon == self) {
            m_domain = member.domain;
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.daemon < b.daemon; });
    const bool isSame =
        std::equal(candidates.begin(), candidates.end(), m_candidates.begin(), m_candidates.end(),
                   [](const Candidate &a, const Candidate &b) { return a.daemon == b.daemon; });
    if (isSame) {
        return;
    }
    m_candidates = std::move(candidates);
    const auto near =
        std::count_if(m_candidates.begin(), m_candidates.end(),
                      [this](const Candidate &each) { return each.domain == m_domain; });
    m_domainShare = static_cast<double>(near)
        / static_cast<double>(std::max<std::size_t>(m_candidates.size(), 1));
    m_changedAt = now;
    for (auto &[daemon, known] : m_known) {
        known.lastPresentAt = known.isPresent ? now : known.lastPresentAt;
        known.isPresent = false;
    }
    for (const Candidate &candidate : m_candidates) {
        m_known[candidate.daemon] = Known{ true, now };
    }
    removeExpired(now);
}

template <typename IsWanted>
const AccountPlacement::Candidate *AccountPlacement::highestWeight(const AccountName &account,
                                                                   const IsWanted &isWanted) const
{
    const std::uint64_t hash = hashOf(account.value());
    const Candidate *best = nullptr;
    std::uint64_t most = 0;
    for (const Candidate &candidate : m_candidates) {
        const std::uint64_t weight = mix(hash, candidate.hash);
        if ((!best || weight > most) && isWanted(candidate)) {
            best = &candidate;
            most = weight;
        }
    }
    return best;
}

const DaemonId &AccountPlacement::homeOf(const AccountName &account) const
{
    const Candidate *home = highestWeight(account, [](const Candidate & /*each*/) { return true; });
    return home ? home->daemon : m_self;
}

const DaemonId &AccountPlacement::fallbackOf(const AccountName &account) const
{
    const DaemonId &home = homeOf(account);
    const Candidate *fallback = highestWeight(account, [this, &home](const Candidate &each) {
        return each.domain == m_domain && each.daemon != home;
    });
    return fallback ? fallback->daemon : m_self;
}

double AccountPlacement::reachableShare(TimePoint now) const
{
    std::size_t in = 0;
    std::size_t known = 0;
    for (const auto &[daemon, each] : m_known) {
        in += each.isPresent ? 1 : 0;
        known += each.isPresent || now - each.lastPresentAt < m_options.departedRetention ? 1 : 0;
    }
    const Duration age = std::chrono::duration_cast<Duration>(now - m_startedAt);
    // Daemons partitioned since before this daemon's start were never members here.
    auto all = static_cast<double>(
        age < m_options.departedRetention ? std::max(known, m_directorySize) : known);
    if (age < m_options.discoveryTime) {
        all = std::max(all, m_options.assumedDaemons);
    }
    return in == 0 ? 1 / m_options.assumedDaemons : static_cast<double>(in) / all;
}

void AccountPlacement::removeExpired(TimePoint now)
{
    for (auto it = m_known.begin(); it != m_known.end();) {
        const bool isExpired =
            !it->second.isPresent && now - it->second.lastPresentAt >= m_options.departedRetention;
        it = isExpired ? m_known.erase(it) : std::next(it);
    }
}

} // namespace ivyspar
