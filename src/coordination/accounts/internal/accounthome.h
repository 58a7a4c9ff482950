#pragma once

#include <optional>
#include <unordered_map>

#include "coordination/accounts/iaccountlimits.h"
#include "coordination/accounts/internal/accountplacement.h"

namespace ivyspar {

/// The bucket of one account at its home, and what entries have of it. Plain object.
class AccountHome
{
public:
    /// `since`: nobody else has been the account's home from then on. `isDeputy`: it acts for a
    /// home that may well be there.
    AccountHome(TimePoint since, bool isDeputy, const AccountLimitOptions &options,
                const AccountPlacement &placement);

    TokenGrant grantTokens(TimePoint now, const AccountLimit &limit, const DaemonId &entry,
                           const TokenDemand &demand);
    /// When an entry last asked.
    TimePoint lastRequestAt() const { return m_lastRequestAt; }

private:
    struct Holder
    {
        double tokens = 0;
        double rate = 0;
        double longTermRate = 0;
        /// The largest lease that it may believe in.
        double lease = 0;
        TimePoint leaseUntil;
        /// As it told when it asked last; nothing before.
        std::optional<std::uint32_t> locallyAdmitted;
        /// Units that were left to it since.
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
    /// Of the rate, what this daemon may give.
    double grantableShare(TimePoint now) const;
    bool isNew(TimePoint now) const { return now - m_since < m_options.leaseDuration; }
    double totalDemandRate() const;
    double longTermRate() const;
    double heldTokens() const;
    template <typename IsWanted> double leasesIf(const IsWanted &isWanted) const;
    /// Leases of the entries that can reach this daemon.
    double reachableLeases() const;
    /// The entry should have asked long ago.
    bool isUnresponsive(TimePoint now, const Holder &holder) const;
    void removeExpired(TimePoint now);

    const AccountLimitOptions &m_options;
    const AccountPlacement &m_placement;
    bool m_isDeputy;
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
