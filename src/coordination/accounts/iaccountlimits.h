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
    /// With `Wait`: ask again then at the latest, and whenever something was granted.
    TimePoint until;
    /// With `Refuse`: when there may be room.
    Duration retryAfter{ 0 };
};

/// How an account stands at this daemon, for operators.
struct AccountStatus
{
    AccountName account;
    AccountLimit limit;
    /// Requests a second that asked for it here, and those of them that were refused.
    double rate = 0;
    double refused = 0;
    bool isHome = false;
    /// Its home cannot be reached: this daemon lets in what its lease allows.
    bool isOnLease = false;
};

struct AccountMember
{
    DaemonId daemon;
    DomainName domain;
};

/// What may be let in beyond a limit within the time over which operators look at it.
struct AccountTolerance
{
    /// Of what rate and burst allow.
    double overage = 0.1;
    /// Requests besides.
    double slack = 20;
};

using AccountLimits = std::unordered_map<AccountName, AccountLimit>;

/// Keeps each client account within its limit, which holds over all daemons together.
///
/// One daemon, the account's home, counts the units of its bucket and hands them to entries ahead
/// of need. It also leases each entry a share of the rate. An entry that cannot reach the home lets
/// in what its lease allows, and the home leaves that much to the entries that it lost until their
/// leases are over. A new home begins with what entries that reach it hold as leases. So the parts
/// never add up to more than the whole, however the daemons are separated; docs/ACCOUNTS.md has the
/// exceptions. Until a silent home is known to be gone, a deputy in the own failure domain pools
/// the leases of those that ask it. Plain object.
class IAccountLimits
{
public:
    virtual ~IAccountLimits() = default;

    /// The daemons that are taken for alive, with this one.
    virtual void setMembers(TimePoint now, const DaemonId &self,
                            const std::vector<AccountMember> &members) = 0;
    /// How many daemons the platform's directory lists. Counts while this daemon has not been there
    /// long enough to know who may be cut off.
    virtual void setDirectorySize(std::size_t daemons) = 0;
    /// Accounts that are not among them have no limit.
    virtual void setLimits(TimePoint now, AccountLimits limits) = 0;
    /// Takes a unit for a request of the account, which asked for the first time at `since`.
    virtual AccountDecision take(TimePoint now, const AccountName &account, TimePoint since) = 0;
    /// The request was not run after all.
    virtual void refund(TimePoint now, const AccountName &account) = 0;
    /// `granted` gets the accounts whose waiting requests are to ask again.
    virtual void receive(TimePoint now, const DaemonId &from, const AccountMessage &message,
                         std::vector<AccountName> &granted) = 0;
    /// What is to be sent now.
    virtual OutgoingAccountMessages takeOutgoing() = 0;
    virtual std::vector<AccountStatus> statuses(TimePoint now) const = 0;
};

struct AccountLimitOptions
{
    /// Off, for measurements: each daemon counts an equal part of each limit.
    bool hasHomes = true;
    AccountTolerance tolerance;
    /// Time over which an entry's demand is averaged.
    Duration demandWindow = std::chrono::seconds(2);
    /// An entry keeps units for this time of its demand at hand …
    Duration prefetchTime = std::chrono::milliseconds(150);
    /// … and one at least, if its demand is larger. Of an account that is seldom asked for, units
    /// would lie about at all entries while the bucket is empty.
    double minPrefetchRate = 0.7;
    /// Units at hand are worth nothing after this time without an answer of the home.
    Duration cachedTokenLifetime = std::chrono::milliseconds(2500);
    /// A question without an answer is repeated after this time …
    Duration requestTimeout = std::chrono::milliseconds(60);
    /// … and after so many the daemon is taken for silent, for this time.
    std::uint32_t maxUnansweredRequests = 2;
    Duration unresponsiveTime = std::chrono::milliseconds(500);
    /// Units of an answer that comes later than this are not used.
    Duration grantLifetime = std::chrono::milliseconds(500);
    /// How long a request may wait for a unit while the bucket is empty.
    Duration maxWait = std::chrono::milliseconds(120);
    Duration leaseDuration = std::chrono::seconds(10);
    /// A lease is minded here for so much longer than where it is used.
    Duration leaseMargin = std::chrono::milliseconds(500);
    /// Daemons that are gone count for the division of limits for this long: they may be cut off,
    /// and still serve their callers.
    Duration departedRetention = std::chrono::seconds(30);
    /// After a start a daemon may not have found the others yet …
    Duration discoveryTime = std::chrono::milliseconds(700);
    /// … and takes itself for one of so many.
    double assumedDaemons = 64;
    /// An entry seems cut off after this time, and that of so many requests, without a question.
    Duration minUnresponsiveTime = std::chrono::milliseconds(250);
    double missedRequests = 4;
    /// A new home has heard of most leases after this time.
    Duration leaseReportTime = std::chrono::milliseconds(500);
    /// With a larger share of the known daemons in reach, nobody is thought to be cut off.
    double fullReachShare = 0.98;
    /// Bounds on what callers that are refused are told.
    Duration minRetryAfter = std::chrono::milliseconds(200);
    Duration maxRetryAfter = std::chrono::seconds(3);
};

std::unique_ptr<IAccountLimits> makeAccountLimits(TimePoint now, IRandom &random,
                                                  const AccountLimitOptions &options = {});

} // namespace ivyspar
