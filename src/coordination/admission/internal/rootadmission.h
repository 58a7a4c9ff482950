#pragma once

#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "coordination/admission/demandrate.h"
#include "coordination/admission/internal/lossbasedadmission.h"
#include "coordination/admission/irootadmission.h"

namespace ivyspar {

class RootAdmission : public IRootAdmission
{
public:
    explicit RootAdmission(const RootAdmissionOptions &options);

    void setMembers(const std::vector<Member> &members) override;
    bool admit(TimePoint now, const RootTarget &target) override;
    DemandShare admittedShare(TimePoint now, const RootTarget &target) const override;
    AdmissionBasis basis(TimePoint now, const RootTarget &target) const override;
    void onAttemptEnd(TimePoint now, const RootTarget &target, const TreeUsage &usage,
                      bool isComplete) override;
    void onRequestEnd(const RootTarget &target, RootResult result) override;

private:
    struct Profile;
    /// What callers ask of a service by one rule.
    struct ServiceDemand
    {
        const Profile *profile = nullptr;
        /// In µs of slots a second.
        DemandRate rate;
        /// Of one request, in µs of slots.
        double cost = 0;
    };
    struct Service
    {
        std::map<Priority, std::vector<ServiceDemand>> ruleDemands;
        /// The whole demand over what the service can takeToken.
        double load = 0;
        std::uint32_t reports = 0;
        TimePoint reportedAt;
    };
    /// What a request of a rule costs a service.
    struct Cost
    {
        /// In µs of slots.
        double busy = 0;
        /// Share of the requests that reach the service.
        double reachedShare = 0;
        double calls = 0;
    };
    /// What the calls of a rule's requests cost, whoever the callers are.
    struct Tree
    {
        std::unordered_map<ServiceName, Cost> costs;
        std::uint32_t samples = 0;
        /// While the tree is not known yet: requests that may be under way, once one has ended.
        std::optional<double> window;
        std::uint32_t inFlight = 0;
    };
    /// Requests of a rule of one priority.
    struct Profile
    {
        Tree *tree = nullptr;
        DemandRate arrivals;
        /// Of the usual arrivals, what fits.
        double share = 1;
        /// The service that leaves least room; empty while none is known.
        ServiceName bottleneck;
        /// Of the requests, the share that is worth to begin.
        double lossAdmittedShare = 1;
        /// What is tokens up of the next request that is worth it.
        double startCredit = 0;
        /// Requests that may be let in at once.
        double tokens = 0;
        TimePoint refilledAt;
        DemandRate admitted;
    };
    using TreeKey = std::pair<RuleName, ServiceName>;
    using ProfileKey = std::tuple<RuleName, ServiceName, Priority>;

    Tree &treeOf(const RootTarget &target) { return m_trees[TreeKey(target.rule, target.service)]; }
    Profile &profileOf(const RootTarget &target);
    const Profile *findProfile(const RootTarget &target) const;
    bool isKnown(const Tree &tree) const { return tree.samples >= m_options.minTreeSamples; }
    /// Requests of a rule that is not known yet that may be under way.
    double windowOf(const Tree &tree) const;
    /// Of the usual arrivals, the share that the services of the rule's tree can takeToken.
    double shareOf(TimePoint now, const RootTarget &target, Profile &profile);
    double loadOf(TimePoint now, const Service &service) const;
    void recordDemand(TimePoint now, Service &service, Priority priority, const Profile &profile,
                      double cost) const;
    /// Of the rule's usual demand, the share that fits; above 1 with room for more.
    double fittingShare(TimePoint now, const Service &service, Priority priority,
                        const Profile &profile) const;
    double shareWithin(TimePoint now, const std::vector<ServiceDemand> &ruleDemands,
                       const Profile &profile, double room) const;
    double demandOf(TimePoint now, const std::vector<ServiceDemand> &ruleDemands) const;
    /// Whether this request is one of the share that is worth to begin.
    bool passesLossAdmission(TimePoint now, const RootTarget &target, Profile &profile);
    /// Takes one request from what is tokens up at `share` of the usual arrivals.
    bool takeToken(TimePoint now, Profile &profile, double share) const;
    void updateCosts(Tree &tree, const TreeUsage &usage) const;
    void updateLoad(TimePoint now, const ServiceUsage &usage);

    RootAdmissionOptions m_options;
    double m_initialWindow;
    std::map<TreeKey, Tree> m_trees;
    std::map<ProfileKey, Profile> m_profiles;
    std::unordered_map<ServiceName, Service> m_services;
    LossBasedAdmission m_lossAdmission;
    /// Kept to save an allocation for each request.
    std::vector<TreeCalls> m_treeCalls;
};

} // namespace ivyspar
