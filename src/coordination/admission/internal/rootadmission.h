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
    std::vector<AccountShareStatus> accountShares(TimePoint now, std::size_t count) const override
    {
        return m_accountShares->statuses(now, count);
    }
    std::size_t activeAccounts() const override { return m_accountShares->size(); }

private:
    struct Profile;
    /// Demand of the requests of one rule for a service.
    struct ServiceDemand
    {
        const Profile *profile = nullptr;
        /// Slot time, in µs per second.
        DemandRate rate;
        /// Slot time per request, in µs.
        double cost = 0;
    };
    struct Service
    {
        std::map<Priority, std::vector<ServiceDemand>> ruleDemands;
        /// Demand over capacity.
        double load = 0;
        std::uint32_t reports = 0;
        TimePoint reportedAt;
    };
    /// Mean cost of a request of a rule at one service.
    struct Cost
    {
        /// Slot time, in µs.
        double busy = 0;
        /// Share of the requests that reach the service.
        double reachedShare = 0;
        double calls = 0;
    };
    /// Costs of the call tree of a rule, for requests of any priority.
    struct Tree
    {
        std::unordered_map<ServiceName, Cost> costs;
        std::uint32_t samples = 0;
        /// Maximum number of requests in flight while the cost is unknown; set once a request has
        /// ended.
        std::optional<double> window;
        std::uint32_t inFlight = 0;
    };
    /// State of the requests of one rule and priority.
    struct Profile
    {
        Tree *tree = nullptr;
        DemandRate arrivals;
        /// Share of the usual arrivals that fits.
        double share = 1;
        /// The service with the least capacity left; empty if none is known.
        ServiceName bottleneck;
        /// Share of the requests worth starting, given the loss at the services.
        double lossAdmittedShare = 1;
        /// Accumulated `lossAdmittedShare`; each started request takes 1.
        double startCredit = 0;
        /// Requests that may be admitted at once.
        double tokens = 0;
        TimePoint refilledAt;
        DemandRate admitted;
        /// `share` over the largest one of the rules of the same priority, at most 1.
        double relativeShare = 1;
        /// Rate of `arrivals` right after the last one.
        double lastRate = 0;
        /// Set if the last request was decided by the share of its account.
        std::optional<AccountVerdict> accountVerdict;
        /// Requests refused by the share of their account that no admitted request represents yet.
        double refused = 0;
        /// Requests that the last admitted one represents, itself included.
        double represented = 1;
    };
    /// Share of the demand of a rule that fits a service.
    struct FittingShare
    {
        double share = 0;
        double relativeShare = 1;
    };
    using TreeKey = std::pair<RuleName, ServiceName>;
    using ProfileKey = std::tuple<RuleName, ServiceName, Priority>;

    Tree &treeOf(const RootTarget &target) { return m_trees[TreeKey(target.rule, target.service)]; }
    Profile &profileOf(const RootTarget &target);
    const Profile *findProfile(const RootTarget &target) const;
    bool isKnown(const Tree &tree) const { return tree.samples >= m_options.minTreeSamples; }
    /// Maximum number of requests in flight of a rule whose cost is unknown.
    double windowOf(const Tree &tree) const;
    /// Share of the usual arrivals that the services of the call tree can take.
    double shareOf(TimePoint now, const RootTarget &target, Profile &profile);
    double loadOf(TimePoint now, const Service &service) const;
    void recordDemand(TimePoint now, Service &service, Priority priority, const Profile &profile,
                      double cost) const;
    /// Share of the usual demand of the rule that fits; above 1 with spare capacity.
    FittingShare fittingShare(TimePoint now, const Service &service, Priority priority,
                              const Profile &profile) const;
    FittingShare shareWithin(TimePoint now, const std::vector<ServiceDemand> &ruleDemands,
                             const Profile &profile, double capacity) const;
    double demandOf(TimePoint now, const std::vector<ServiceDemand> &ruleDemands) const;
    /// Whether the request belongs to the share worth starting.
    bool passesLossAdmission(TimePoint now, const RootTarget &target, Profile &profile);
    AccountVerdict decideByAccount(TimePoint now, const RootTarget &target, Profile &profile,
                                   double arrived);
    bool isAdmittedByShare(TimePoint now, const RootTarget &target, Profile &profile,
                           double arrived);
    /// Takes one token; tokens refill at `share` of the rate of the usual arrivals.
    bool takeToken(TimePoint now, Profile &profile, double share) const;
    void updateCosts(Tree &tree, const TreeUsage &usage) const;
    void updateLoad(TimePoint now, const ServiceUsage &usage);

    RootAdmissionOptions m_options;
    double m_initialWindow;
    std::map<TreeKey, Tree> m_trees;
    std::map<ProfileKey, Profile> m_profiles;
    std::unordered_map<ServiceName, Service> m_services;
    LossBasedAdmission m_lossAdmission;
    std::unique_ptr<IAccountShares> m_accountShares;
    /// Reused to avoid an allocation per request.
    std::vector<TreeCalls> m_treeCalls;
};

} // namespace ivyspar
