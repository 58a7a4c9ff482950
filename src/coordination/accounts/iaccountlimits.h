#pragma once

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

#include "coordination/accounts/accountmessages.h"
#include "state/accounts.h"
#include "state/irandom.h"
#include "state/time.h"

namespace ivyspar {

enum class AccountAction { Admit, Wait, Refuse };

struct AccountDecision
{
    AccountAction action = AccountAction::Admit;
    /// For `Wait`: call `take` again at this time, or earlier when `receive` reports a grant.
    TimePoint until;
    /// For `Refuse`: when the caller may try again.
    Duration retryAfter{ 0 };
};

/// State of an account at this daemon, for operators.
struct AccountStatus
{
    AccountName account;
    AccountLimit limit;
    /// Requests per second for the account at this daemon, including the refused ones.
    double rate = 0;
    /// Refused requests per second at this daemon.
    double refused = 0;
    bool isHome = false;
    /// Neither the account's home nor its fallback responds; this daemon admits what its lease
    /// allows.
    bool isOnLease = false;
};

struct AccountMember
{
    DaemonId daemon;
    DomainName domain;
};

/// How far a limit may be exceeded within the operators' observation window.
struct AccountTolerance
{
    /// As a fraction of what rate and burst allow.
    double overage = 0.1;
    /// Plus this number of requests.
    double slack = 20;
};

using AccountLimits = std::unordered_map<AccountName, AccountLimit>;

/// Mean of the rates, in requests per second; 1 without limits.
double meanRateOf(const AccountLimits &limits);

/// Enforces the rate limit of each client account across all daemons.
///
/// One daemon, the account's home, owns its token bucket and grants tokens to entries ahead of
/// demand. It also leases a share of the rate to each entry. An entry that cannot reach the home
/// admits requests within its lease, and the home reserves that share for unreachable entries until
/// their leases expire. A new home starts with the sum of the leases of the entries that reach it.
/// The shares therefore never add up to more than the limit under any network partition;
/// docs/ACCOUNTS.md lists the exceptions. Until an unresponsive home is known to be gone, its
/// fallback, a daemon in the entry's failure domain, pools the leases of the entries that contact
/// it. Plain object.
class IAccountLimits
{
public:
    virtual ~IAccountLimits() = default;

    /// The daemons considered alive, including this one.
    virtual void setMembers(TimePoint now, const DaemonId &self,
                            const std::vector<AccountMember> &members) = 0;
    /// Number of daemons in the platform's directory. Used until this daemon has run for
    /// `AccountLimitOptions::departedRetention` and knows the partitioned daemons itself.
    virtual void setDirectorySize(std::size_t daemons) = 0;
    /// Accounts that are not in `limits` are unlimited.
    virtual void setLimits(TimePoint now, AccountLimits limits) = 0;
    /// Takes a token for a request of the account. `since` is the time of the request's first call;
    /// only that call counts as demand.
    virtual AccountDecision take(TimePoint now, const AccountName &account, TimePoint since) = 0;
    /// Returns the token of a request that was not run.
    virtual void refund(TimePoint now, const AccountName &account) = 0;
    /// Part of the account's limit that corresponds to the part of its demand that arrives at this
    /// daemon, in requests per second. An account without a limit counts with the mean limit of the
    /// others, or with 1.
    virtual double localRate(TimePoint now, const AccountName &account) const = 0;
    /// Appends to `granted` the accounts whose waiting requests should call `take` again.
    virtual void receive(TimePoint now, const DaemonId &from, const AccountMessage &message,
                         std::vector<AccountName> &granted) = 0;
    /// Takes the messages that are due to be sent.
    virtual OutgoingAccountMessages takeOutgoing() = 0;
    virtual std::vector<AccountStatus> statuses(TimePoint now) const = 0;
};

struct AccountLimitOptions
{
    /// If false, each daemon enforces an equal share of each limit on its own; for measurements.
    bool hasHomes = true;
    AccountTolerance tolerance;
    /// Averaging window of an entry's demand.
    Duration demandWindow = std::chrono::seconds(2);
    /// An entry caches tokens for this much of its demand …
    Duration prefetchTime = std::chrono::milliseconds(150);
    /// … but at least one, or none below this rate in requests per second: cached tokens of rarely
    /// used accounts would sit idle at all entries while the bucket is empty.
    double minPrefetchRate = 0.7;
    /// Cached tokens expire after this time without a response from the home.
    Duration cachedTokenLifetime = std::chrono::milliseconds(2500);
    /// A request without a response is given up after this time …
    Duration requestTimeout = std::chrono::milliseconds(60);
    /// … and after this many in a row the daemon is considered unresponsive, for
    /// `unresponsiveTime`.
    std::uint32_t maxUnansweredRequests = 2;
    Duration unresponsiveTime = std::chrono::milliseconds(500);
    /// Tokens in a response that arrives later than this after its request are discarded.
    Duration grantLifetime = std::chrono::milliseconds(500);
    /// How long a request may wait for a token while the bucket is empty.
    Duration maxWait = std::chrono::milliseconds(120);
    Duration leaseDuration = std::chrono::seconds(10);
    /// The home honors a lease for this much longer than the entry that uses it.
    Duration leaseMargin = std::chrono::milliseconds(500);
    /// Departed daemons count in the division of limits for this long: they may be partitioned and
    /// still serving their callers.
    Duration departedRetention = std::chrono::seconds(30);
    /// For this time after its start a daemon may not have discovered the others yet …
    Duration discoveryTime = std::chrono::milliseconds(700);
    /// … and assumes that there are at least this many.
    double assumedDaemons = 64;
    /// The home considers an entry unreachable after this time without a token request, and after
    /// the time in which it usually gets this many client requests, whichever is longer.
    Duration minUnresponsiveTime = std::chrono::milliseconds(250);
    double missedRequests = 4;
    /// By this time after it took over, a new home has been told of most leases.
    Duration leaseReportTime = std::chrono::milliseconds(500);
    /// With at least this share of the known daemons reachable, none is considered partitioned.
    double fullReachShare = 0.98;
    /// Bounds of the retry delay for refused callers.
    Duration minRetryAfter = std::chrono::milliseconds(200);
    Duration maxRetryAfter = std::chrono::seconds(3);
};

std::unique_ptr<IAccountLimits> makeAccountLimits(TimePoint now, IRandom &random,
                                                  const AccountLimitOptions &options = {});

} // namespace ivyspar
