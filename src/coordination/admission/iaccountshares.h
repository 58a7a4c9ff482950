#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Account of a root request, and the weight of its claim to capacity at this entry daemon.
struct AccountClaim
{
    /// Empty for a request without an account: such requests get the share of their rule.
    AccountName account;
    /// Compared with the weights of other accounts at this daemon; 0 for a request without an
    /// account.
    double weight = 0;
    /// Lower bound of its admitted share, relative to the share of its rule. 1 for requests without
    /// an account.
    double minRelativeShare = 1;
};

/// A root request that competes with others of its priority for one service.
struct AccountRequest
{
    ServiceName bottleneck;
    Priority priority;
    /// Slot time of its call tree at the bottleneck, in µs.
    double cost = 0;
    /// Share of the demand of its rule that fits.
    double share = 1;
    /// `share` relative to the rule of the same priority with the largest one, at most 1.
    double relativeShare = 1;
    /// Slot time at the bottleneck, in µs, that became available to its rule since the previous
    /// request of the rule.
    double room = 0;
};

struct AccountVerdict
{
    bool isAdmitted = true;
    /// The account is within its share; if refused all the same, the total exceeds the room.
    bool isEntitled = true;
};

/// Share of an account at one service and priority. Rates are slot time per second, i.e. slots.
struct AccountShareStatus
{
    AccountName account;
    ServiceName bottleneck;
    Priority priority;
    double demandSlots = 0;
    double admittedSlots = 0;
    /// What the account can get at least, i.e. its weight times the common level.
    double fairSlots = 0;
    /// Share of its demand that was admitted lately.
    double admittedShare() const { return demandSlots > 0 ? admittedSlots / demandSlots : 1; }
};

/// Divides the capacity that is left for a priority at a service among client accounts, at one
/// entry daemon: max-min fairness over the weighted slot time of whole call trees. Accounts below
/// the common level are admitted in full; those above get the level. Holds no clock, socket or
/// thread.
class IAccountShares
{
public:
    virtual ~IAccountShares() = default;

    /// Decides about an arriving request and counts it.
    virtual AccountVerdict admit(TimePoint now, const AccountClaim &claim,
                                 const AccountRequest &request) = 0;
    /// State of an account; empty if it was not active lately.
    virtual AccountShareStatus status(TimePoint now, const AccountName &account,
                                      const ServiceName &bottleneck, Priority priority) const = 0;
    /// The accounts with the most admitted slot time and those with the most refused, at most
    /// `count` of each.
    virtual std::vector<AccountShareStatus> statuses(TimePoint now, std::size_t count) const = 0;
    /// Number of accounts with state; an account counts once for each service and priority.
    virtual std::size_t size() const = 0;
};

struct AccountSharesOptions
{
    /// Time over which the demand of an account is averaged.
    Duration demandAveragingTime = std::chrono::seconds(2);
    /// An account may save up its fair share for this time …
    Duration creditTime = std::chrono::seconds(4);
    /// … or for this number of requests, whichever is more: requests cluster by chance.
    double minCredit = 4;
    /// The total may deviate from the room for this time at the admitted rate …
    Duration burst = std::chrono::milliseconds(200);
    /// … or by this number of requests.
    double minBurst = 2;
    /// Change of the logarithm of the level per request admitted beyond the room.
    double levelGain = 0.1;
    /// An account without requests for this time is forgotten.
    Duration retention = std::chrono::seconds(30);
    /// Maximum number of accounts with state; beyond it, those without requests for the longest
    /// time are forgotten.
    std::size_t maxAccounts = 16384;
};

std::unique_ptr<IAccountShares> makeAccountShares(const AccountSharesOptions &options = {});

} // namespace ivyspar
