#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "coordination/balance/balancemessages.h"
#include "coordination/balance/domainshares.h"
#include "state/ids.h"
#include "state/load.h"
#include "state/member.h"
#include "state/time.h"

namespace ivyspar {

/// `DomainBalanceOptions::targetUtilization` beside root admission, which refuses requests by
/// chance fluctuations as servers come near their slots.
constexpr double TARGET_UTILIZATION_WITH_ADMISSION = 0.85;

struct DomainBalanceOptions
{
    /// Interval of reports and sums.
    Duration interval = std::chrono::milliseconds(500);
    /// A report counts for this time.
    Duration reportLifetime = std::chrono::milliseconds(1500);
    /// Sums older than this are not used.
    Duration newsLifetime = std::chrono::seconds(2);
    /// A domain's sums are not told while fewer of its daemons have reported: partial sums would
    /// show a shortage or spare capacity that does not exist.
    double minReporters = 0.8;
    /// Daemons to which one daemon relays the news of its domain.
    std::size_t relayFanOut = 3;
    /// A domain sends calls away only above this utilization of its own servers.
    double targetUtilization = 0.96;
    /// Time constant of changes of a share, except when a domain appears or disappears.
    Duration shareTime = std::chrono::milliseconds(500);
    /// Time constant of the measured call rates.
    Duration rateTime = std::chrono::milliseconds(1500);
    /// Time constant of the measured work per call.
    Duration workTime = std::chrono::seconds(2);
};

/// State of one service, for operators.
struct BalanceStatus
{
    ServiceName service;
    std::vector<DomainWork> domains;
    /// Shares in force in this failure domain; empty if no domain is short of the service.
    std::vector<DomainShare> shares;
};

/// Balances calls between failure domains: measures what this host asks of each service and can do,
/// exchanges sums by domain with the other daemons, and derives this domain's shares. Does nothing
/// until servers of one service are found in several domains. Plain object.
class IDomainBalance
{
public:
    virtual ~IDomainBalance() = default;

    /// Sets the daemons that are considered alive, this one included.
    virtual void setMembers(TimePoint now, const DaemonId &self,
                            const std::vector<Member> &members) = 0;
    /// Records a new call. `admittedShare`: share of such requests that entries admit; the call
    /// stands for those refused too.
    virtual void onCall(TimePoint now, const ServiceName &service, DemandShare admittedShare) = 0;
    /// Records the slot time of a call that a server of that speed has answered.
    virtual void onAnswer(TimePoint now, const ServiceName &service, Duration slotTime,
                          SpeedShare speed) = 0;
    /// Sets the capacity of this host's servers, in slots of usual speed.
    virtual void setCapacities(std::unordered_map<ServiceName, double> capacities) = 0;
    virtual void receive(TimePoint now, const DaemonId &from, const BalanceMessage &message) = 0;
    /// Reports, sums and recomputes the shares. Call every `DomainBalanceOptions::interval`.
    virtual void tick(TimePoint now) = 0;
    /// Returns and removes the messages to send.
    virtual OutgoingBalanceMessages takeOutgoing() = 0;
    /// The shares of this failure domain, without those that depend on old sums.
    virtual const SharesByService &shares() const = 0;
    /// Age of the oldest sums in use; nothing if none are.
    virtual std::optional<Duration> newsAge(TimePoint now) const = 0;
    /// Sorted by service.
    virtual std::vector<BalanceStatus> statuses(TimePoint now) const = 0;
};

std::unique_ptr<IDomainBalance> makeDomainBalance(const DomainBalanceOptions &options);

} // namespace ivyspar
