#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "coordination/admission/demandrate.h"
#include "state/ids.h"
#include "state/time.h"
#include "state/usage.h"

namespace ivyspar {

struct LossBasedAdmissionOptions
{
    /// False: the loss of services does not affect admission.
    bool isOn = true;
    /// Retry budget of all daemons together, as retries per call to a service; 0 for none.
    double retryRatio = 0;
    /// If a smaller share of the call trees of a rule would complete, only as many are started as
    /// retries can complete. Below it a call tree costs more than it is worth: with 13 calls it
    /// takes about 5 ms of processor time in the daemons alone.
    double minSuccessProbability = 0.25;
    /// Minimum share of the requests to admit at any loss: they detect recovery where nobody else
    /// calls the service.
    double probeShare = 0.03;
    /// Weight of one report in the loss of a service.
    double reportWeight = 0.1;
    /// How long a reported loss is kept. Covers the gaps between the calls to a rarely called
    /// service.
    Duration reportHold = std::chrono::seconds(2);
    /// Time over which the calls to a service are averaged.
    Duration averagingTime = std::chrono::seconds(1);
    /// A smaller loss is ignored: it fails fewer than one in ten call trees of eight calls, and
    /// retries compensate for it.
    double minLoss = 0.02;
};

/// Mean number of calls to one service in the call tree of a request.
struct TreeCalls
{
    ServiceName service;
    double calls = 0;
};

/// Limits the requests of a rule by the probability that their call trees complete. Holds no clock,
/// socket or thread.
///
/// If a service refuses calls at random, or loses their answers, with probability p, a call tree
/// with n calls to it fails with probability 1 - (1 - p)ⁿ, after the services above have done their
/// work. Retries compensate for this at p / (1 - p) per call, but the retry budget of all daemons
/// together is small. Spread over all call trees it completes none of them; so rules of high
/// priority get it first, and of the remaining call trees only as many are started as it still
/// covers.
class LossBasedAdmission
{
public:
    explicit LossBasedAdmission(const LossBasedAdmissionOptions &options);

    /// A report of the loss of a service, received with an answer.
    void onReport(TimePoint now, const ServiceUsage &usage);
    /// A request of this priority arrived, whose call tree makes these calls. Returns the share of
    /// such requests to admit.
    double onArrival(TimePoint now, Priority priority, const std::vector<TreeCalls> &tree);

private:
    struct Service
    {
        double loss = 0;
        TimePoint reportedAt;
        /// Calls per second that arriving requests would make, by priority.
        std::map<Priority, DemandRate> calls;
    };

    double lossOf(TimePoint now, const Service &service) const;
    /// Share of the lost calls of this priority that the retry budget covers.
    double retryableShare(TimePoint now, const Service &service, double loss,
                          Priority priority) const;

    LossBasedAdmissionOptions m_options;
    std::unordered_map<ServiceName, Service> m_services;
};

} // namespace ivyspar
