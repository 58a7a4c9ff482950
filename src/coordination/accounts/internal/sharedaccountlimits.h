#pragma once

#include <unordered_map>

#include "coordination/accounts/internal/accounthome.h"
#include "coordination/accounts/internal/accountplacement.h"
#include "coordination/accounts/internal/accounttokencache.h"

namespace ivyspar {

/// Enforces account limits across daemons. One daemon, the home of the account, keeps its token
/// bucket.
class SharedAccountLimits : public IAccountLimits
{
public:
    SharedAccountLimits(TimePoint now, IRandom &random, const AccountLimitOptions &options);

    void setMembers(TimePoint now, const DaemonId &self,
                    const std::vector<AccountMember> &members) override;
    void setDirectorySize(std::size_t daemons) override { m_placement.setDirectorySize(daemons); }
    void setLimits(TimePoint now, AccountLimits limits) override;
    AccountDecision take(TimePoint now, const AccountName &account, TimePoint since) override;
    void refund(TimePoint now, const AccountName &account) override;
    double localRate(TimePoint now, const AccountName &account) const override;
    void receive(TimePoint now, const DaemonId &from, const AccountMessage &message,
                 std::vector<AccountName> &granted) override;
    OutgoingAccountMessages takeOutgoing() override;
    std::vector<AccountStatus> statuses(TimePoint now) const override;

private:
    struct PeerState
    {
        std::uint32_t unanswered = 0;
        TimePoint until;
    };
    const AccountLimit *limitOf(const AccountName &account) const;
    AccountTokenCache &tokenCacheOf(TimePoint now, const AccountName &account);
    AccountDecision takeFromHome(TimePoint now, const AccountName &account,
                                 const AccountLimit &limit, AccountTokenCache &cache,
                                 TimePoint since);
    AccountDecision waitOrRefuse(TimePoint now, AccountTokenCache &cache, TimePoint since);
    AccountDecision takeFromLease(TimePoint now, const AccountLimit &limit,
                                  AccountTokenCache &cache);
    AccountDecision refuse(TimePoint now, AccountTokenCache &cache, Duration retryAfter);
    void requestTokens(TimePoint now, const AccountName &account, const AccountLimit &limit,
                       AccountTokenCache &cache, std::uint32_t waiting);
    /// The daemon to request tokens from: the account's home, or its fallback daemon while the home
    /// is unresponsive. Unset while both are.
    std::optional<DaemonId> requestTarget(TimePoint now, const AccountName &account) const;
    bool isUnresponsive(TimePoint now, const DaemonId &daemon) const;
    void recordUnanswered(TimePoint now, const DaemonId &daemon);
    TokenGrant answer(TimePoint now, const DaemonId &entry, bool isForFallback,
                      const TokenDemand &demand);
    void receiveResponse(TimePoint now, const DaemonId &from, const TokenResponse &response,
                         std::vector<AccountName> &granted);
    void removeExpired(TimePoint now);

    IRandom &m_random;
    AccountLimitOptions m_options;
    AccountPlacement m_placement;
    AccountLimits m_limits;
    double m_meanRate = 1;
    std::unordered_map<AccountName, AccountTokenCache> m_tokenCaches;
    /// Accounts whose home is this daemon, and accounts for whose home it is the fallback.
    std::unordered_map<AccountName, AccountHome> m_homes;
    std::unordered_map<AccountName, AccountHome> m_fallbacks;
    std::unordered_map<DaemonId, PeerState> m_peerStates;
    OutgoingAccountMessages m_outgoing;
    std::uint32_t m_lastNumber = 0;
    TimePoint m_cleanedUpAt;
};

} // namespace ivyspar
