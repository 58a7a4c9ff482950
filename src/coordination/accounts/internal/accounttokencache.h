#pragma once

#include <cstdint>
#include <optional>

#include "coordination/accounts/iaccountlimits.h"
#include "coordination/admission/demandrate.h"

namespace ivyspar {

/// What an entry has at hand of one account, and how it stands with the account's home. Plain
/// object.
class AccountTokenCache
{
public:
    AccountTokenCache(TimePoint now, const AccountLimitOptions &options);

    /// A request asks for the account, for the first time.
    void recordDemand(TimePoint now);
    void recordRefusal(TimePoint now);
    double demandRate(TimePoint now) const { return m_demand.rate(now, m_options.demandWindow); }
    double refusedRate(TimePoint now) const { return m_refused.rate(now, m_options.demandWindow); }
    TimePoint lastUsedAt() const { return m_lastUsedAt; }

    /// Takes a unit at hand. False if there is none.
    bool take(TimePoint now);
    void refund(TimePoint now);
    /// Takes a unit of what the lease allows while the home is silent.
    bool takeFromLease(TimePoint now, const AccountLimit &limit);
    /// Until there is one; nothing if there is no lease.
    std::optional<Duration> timeUntilLeaseToken(TimePoint now, const AccountLimit &limit) const;

    /// Whether units are to be asked for ahead of need.
    bool isLow(TimePoint now, const AccountLimit &limit) const;
    TokenDemand demand(TimePoint now, const AccountName &account, const AccountLimit &limit,
                       std::uint32_t waiting);

    /// The question that has no answer yet.
    struct PendingRequest
    {
        std::uint32_t number = 0;
        DaemonId target;
        bool isForDeputy = false;
        TimePoint sentAt;
    };
    const std::optional<PendingRequest> &pendingRequest() const { return m_pendingRequest; }
    void recordRequest(const PendingRequest &pendingRequest);
    /// Gives the question up when it has waited too long; names the daemon that did not answer.
    std::optional<DaemonId> expirePendingRequest(TimePoint now);
    /// Nothing can be had before.
    TimePoint emptyUntil() const { return m_emptyUntil; }
    Duration retryAfter() const { return m_retryAfter; }
    /// The answer to the question; false if it came too late.
    bool receive(TimePoint now, const TokenGrant &grant);

private:
    double targetTokens(TimePoint now, const AccountLimit &limit) const;
    double leaseShare(TimePoint now) const;
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
