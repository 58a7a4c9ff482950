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
    /// Off: what services lose decides nothing.
    bool isOn = true;
    /// Repeats for each call that all daemons together may send to a service; 0 for none.
    double retryRatio = 0;
    /// Where less than this share of a rule's trees would end whole by themselves, only as many
    /// are begun as can be retryable. Below it a tree costs more work than it is worth: with 13
    /// calls a tree takes about 5 ms of processor time in the daemons alone.
    double minSuccessProbability = 0.25;
    /// Share of the requests that is let in however bad the odds: they find out that the trouble is
    /// over where nobody else calls the service.
    double probeShare = 0.03;
    /// Weight of one report in the loss of a service.
    double reportWeight = 0.1;
    /// A loss that a service told is believed for this time. It covers the gaps between the calls
    /// of a service that is asked by few.
    Duration reportHold = std::chrono::seconds(2);
    /// Time over which the calls to a service are averaged.
    Duration averagingTime = std::chrono::seconds(1);
    /// A smaller loss is noise: it fails fewer than one in ten trees of eight calls, and repeats
    /// mend it.
    double minLoss = 0.02;
};

/// Calls that a request of a rule makes to a service, in the mean.
struct TreeCalls
{
    ServiceName service;
    double calls = 0;
};

/// With which share of a rule's requests it is worth to begin, by the chance that their trees end
/// whole. Plain object.
///
/// A service that turns away calls by chance, or loses their answers, with a share p fails a tree
/// with n calls there with a chance of 1 - (1 - p)ⁿ, after the services above it have worked.
/// Repeats mend it, p / (1 - p) for each call, but all daemons together may send few of them. Dealt
/// to all trees they mend none; so the trees of the most important rules come first, and of the
/// rest as many are begun as can still be retryable.
class LossBasedAdmission
{
public:
    explicit LossBasedAdmission(const LossBasedAdmissionOptions &options);

    /// A service told what it loses, with an answer.
    void onReport(TimePoint now, const ServiceUsage &usage);
    /// A request of this priority arrived, whose tree makes these calls. Returns the share of such
    /// requests that is worth to begin.
    double onArrival(TimePoint now, Priority priority, const std::vector<TreeCalls> &tree);

private:
    struct Service
    {
        double loss = 0;
        TimePoint reportedAt;
        /// Calls a second that arriving requests would make, by priority.
        std::map<Priority, DemandRate> calls;
    };

    double lossOf(TimePoint now, const Service &service) const;
    /// Of the lost calls of this priority, the share that repeats can mend.
    double retryableShare(TimePoint now, const Service &service, double loss,
                          Priority priority) const;

    LossBasedAdmissionOptions m_options;
    std::unordered_map<ServiceName, Service> m_services;
};

} // namespace ivyspar
