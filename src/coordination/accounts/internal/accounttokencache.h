#pragma once

#include <cstdint>
#include <optional>

#include "coordination/accounts/iaccountlimits.h"
#include "coordination/admission/demandrate.h"

namespace ivyspar {

/// Tokens and lease of one account at an entry, and the pending request to the account's home.
/// Plain object.
class AccountTokenCache
{
public:
    /// `options` outlives the object.
    AccountTokenCache(TimePoint now, const AccountLimitOptions &options);

    /// Counts a client request of the account. To be called once per request, not again when a
    /// waiting request tries again to take a token.
    void recordDemand(TimePoint now);
    void recordRefusal(TimePoint now);
    double demandRate(TimePoint now) const { return m_demand.rate(now, m_options.demandWindow); }
    double refusedRate(TimePoint now) const { return m_refused.rate(now, m_options.demandWindow); }
    TimePoint lastUsedAt() const { return m_lastUsedAt; }

    /// Takes a cached token. False if there is none.
    bool take(TimePoint now);
    void refund(TimePoint now);
    /// Takes a token out of the lease, while home and fallback are unresponsive. False if there is
    /// none.
    bool takeFromLease(TimePoint now, const AccountLimit &limit);
    /// Time until the lease yields a token; unset without a valid lease.
    std::optional<Duration> timeUntilLeaseToken(TimePoint now, const AccountLimit &limit) const;

    /// Whether tokens should be requested ahead of demand.
    bool isLow(TimePoint now, const AccountLimit &limit) const;
    /// Share of the account's demand that arrives here, as the home knows it; 0 without a lease.
    double leaseShare(TimePoint now) const;
    /// The demand to send to the home; moves surplus tokens out of the cache into it. `waiting` is
    /// the number of requests that wait for a token.
    TokenDemand demand(TimePoint now, const AccountName &account, const AccountLimit &limit,
                       std::uint32_t waiting);

    /// A token request that has no response yet.
    struct PendingRequest
    {
        std::uint32_t number = 0;
        DaemonId target;
        bool isForFallback = false;
        TimePoint sentAt;
    };
    const std::optional<PendingRequest> &pendingRequest() const { return m_pendingRequest; }
    void recordRequest(const PendingRequest &pendingRequest);
    /// Drops the pending request if it has timed out, and returns the daemon that did not respond.
    std::optional<DaemonId> expirePendingRequest(TimePoint now);
    /// The home has no tokens to grant before this time.
    TimePoint emptyUntil() const { return m_emptyUntil; }
    Duration retryAfter() const { return m_retryAfter; }
    /// Handles the response to the pending request. False if it arrived too late.
    bool receive(TimePoint now, const TokenGrant &grant);

private:
    double targetTokens(TimePoint now, const AccountLimit &limit) const;
    void refillLease(TimePoint now, const AccountLimit &limit);
    void expire(TimePoint now);

    const AccountLimitOptions &m_options;
    DemandRate m_demand;
    DemandRate m_longTermDemand;
    DemandRate m_refused;
    TimePoint m_lastUsedAt;
    double m_tokens = 0;
    TimePoint m_grantedAt;
    RateShare m_lease;
    TimePoint m_leaseUntil;
    double m_leaseTokens = 0;
    std::uint32_t m_locallyAdmitted = 0;
    TimePoint m_leaseFilledAt;
    std::optional<PendingRequest> m_pendingRequest;
    TimePoint m_emptyUntil;
    Duration m_retryAfter{ 0 };
};

} // namespace ivyspar
