#pragma once

#include <optional>
#include <unordered_map>

#include "coordination/accounts/iaccountlimits.h"
#include "coordination/accounts/internal/accountplacement.h"

namespace ivyspar {

/// Token bucket of one account at its home or fallback, with the tokens and leases that entries
/// hold. Plain object.
class AccountHome
{
public:
    /// `since`: the time from which no other daemon has been the account's home. `isFallback`: this
    /// daemon stands in for a home that may still be running. `options` and `placement` outlive
    /// the object.
    AccountHome(TimePoint since, bool isFallback, const AccountLimitOptions &options,
                const AccountPlacement &placement);

    TokenGrant grantTokens(TimePoint now, const AccountLimit &limit, const DaemonId &entry,
                           const TokenDemand &demand);
    /// When an entry last requested tokens.
    TimePoint lastRequestAt() const { return m_lastRequestAt; }

private:
    struct Holder
    {
        double tokens = 0;
        double rate = 0;
        double longTermRate = 0;
        /// The largest lease that the entry may still consider valid.
        double lease = 0;
        TimePoint leaseUntil;
        /// As reported with its last request; unset before the first.
        std::optional<std::uint32_t> locallyAdmitted;
        /// Tokens reserved for its lease since then.
        double reservedTokens = 0;
        TimePoint lastRequestAt;
        TimePoint emptyUntil;
    };

    void refill(TimePoint now, const AccountLimit &limit);
    void chargeLocalAdmissions(Holder &holder, std::uint32_t locallyAdmitted);
    void updateHolder(TimePoint now, const DaemonId &entry, const TokenDemand &demand);
    double toleranceTokens(const AccountLimit &limit) const;
    std::uint32_t tokensFor(const TokenDemand &demand) const;
    Duration emptyFor(TimePoint now, const AccountLimit &limit) const;
    Duration retryAfterFor(const AccountLimit &limit) const;
    RateShare lease(TimePoint now, Holder &holder);
    /// The share of the rate that this daemon may grant.
    double grantableShare(TimePoint now) const;
    bool isNew(TimePoint now) const { return now - m_since < m_options.leaseDuration; }
    double totalDemandRate() const;
    double longTermRate() const;
    double heldTokens() const;
    template <typename IsWanted> double leasesIf(const IsWanted &isWanted) const;
    /// Sum of the leases of the entries that are members, as this daemon sees it.
    double reachableLeases() const;
    /// Whether the entry has made no request for longer than expected.
    bool isUnresponsive(TimePoint now, const Holder &holder) const;
    void removeExpired(TimePoint now);

    const AccountLimitOptions &m_options;
    const AccountPlacement &m_placement;
    bool m_isFallback;
    bool m_isInitialized = false;
    TimePoint m_since;
    TimePoint m_refilledAt;
    TimePoint m_lastRequestAt;
    double m_level = 0;
    double m_capacity = 0;
    double m_burst = 0;
    std::unordered_map<DaemonId, Holder> m_holders;
};

} // namespace ivyspar
