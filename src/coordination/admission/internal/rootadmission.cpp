#include "coordination/admission/internal/rootadmission.h"

#include <algorithm>
#include <cmath>

#include "coordination/admission/internal/fairshares.h"

namespace ivyspar {

namespace {

/// With capacity for this multiple of the usual demand, requests are admitted without tokens.
constexpr double UNLIMITED_SHARE = 3;
/// Lower bound of the reported share: a single admitted request must not represent thousands.
constexpr long MIN_ADMITTED_SHARE_THOUSANDTHS = 20;
/// The same bound as a number of requests.
constexpr double MAX_REPRESENTED = 50;

LossBasedAdmissionOptions lossOptions(const RootAdmissionOptions &options)
{
    LossBasedAdmissionOptions lossAdmission;
    lossAdmission.isOn = options.hasLossBasedAdmission;
    lossAdmission.retryRatio = options.retryRatio;
    return lossAdmission;
}

} // namespace

std::unique_ptr<IRootAdmission> makeRootAdmission(const RootAdmissionOptions &options)
{
    return std::make_unique<RootAdmission>(options);
}

RootAdmission::RootAdmission(const RootAdmissionOptions &options)
    : m_options(options)
    , m_initialWindow(options.initialWindow)
    , m_lossAdmission(lossOptions(options))
    , m_accountShares(makeAccountShares(options.accountShares))
{
}

void RootAdmission::setMembers(const std::vector<Member> &members)
{
    std::unordered_map<ServiceName, double> slots;
    for (const Member &member : members) {
        for (const UpstreamInfo &upstream : member.upstreams) {
            slots[upstream.service] += upstream.slots;
        }
    }
    double fewestSlots = 0;
    for (const auto &[name, count] : slots) {
        fewestSlots = fewestSlots == 0 ? count : std::min(fewestSlots, count);
    }
    const auto daemons = static_cast<double>(std::max(members.size(), m_options.minDaemons));
    m_initialWindow = std::max(fewestSlots / daemons, m_options.initialWindow);
}

double RootAdmission::windowOf(const Tree &tree) const
{
    return tree.window.value_or(m_initialWindow);
}

RootAdmission::Profile &RootAdmission::profileOf(const RootTarget &target)
{
    Profile &profile = m_profiles[ProfileKey(target.rule, target.service, target.priority)];
    profile.tree = &treeOf(target);
    return profile;
}

const RootAdmission::Profile *RootAdmission::findProfile(const RootTarget &target) const
{
    const auto found = m_profiles.find(ProfileKey(target.rule, target.service, target.priority));
    return found == m_profiles.end() ? nullptr : &found->second;
}

bool RootAdmission::admit(TimePoint now, const RootTarget &target)
{
    Profile &profile = profileOf(target);
    profile.accountVerdict.reset();
    // Checked before the request counts as demand: services must not limit other requests because
    // of requests that are not started.
    if (!passesLossAdmission(now, target, profile)) {
        return false;
    }
    const double rateBefore = profile.arrivals.rate(now, m_options.demandAveragingTime);
    // Each arrival makes its room available over the averaging time.
    const double arrived =
        std::max(profile.lastRate - rateBefore, 0.0) * toSeconds(m_options.demandAveragingTime);
    profile.arrivals.add(now, 1, m_options.demandAveragingTime);
    profile.lastRate = profile.arrivals.rate(now, m_options.demandAveragingTime);
    profile.share = shareOf(now, target, profile);
    Tree &tree = *profile.tree;
    const bool isAdmitted = isKnown(tree) ? isAdmittedByShare(now, target, profile, arrived)
                                          : tree.inFlight + 1 <= windowOf(tree);
    if (isAdmitted) {
        ++tree.inFlight;
        profile.admitted.add(now, 1, m_options.demandAveragingTime);
    }
    return isAdmitted;
}

/// `arrived` is the number of usual arrivals since the previous request.
bool RootAdmission::isAdmittedByShare(TimePoint now, const RootTarget &target, Profile &profile,
                                      double arrived)
{
    if (!m_options.hasAccountShares || !target.claim) {
        return takeToken(now, profile, profile.share);
    }
    const AccountVerdict verdict = decideByAccount(now, target, profile, arrived);
    profile.accountVerdict = verdict;
    if (!verdict.isAdmitted) {
        profile.refused = std::min(profile.refused + 1, MAX_REPRESENTED - 1);
        return false;
    }
    profile.represented = 1 + profile.refused;
    profile.refused = 0;
    return true;
}

AccountVerdict RootAdmission::decideByAccount(TimePoint now, const RootTarget &target,
                                              Profile &profile, double arrived)
{
    const auto cost = profile.tree->costs.find(profile.bottleneck);
    if (cost == profile.tree->costs.end() || cost->second.busy <= 0) {
        return AccountVerdict(); // No service is near its capacity.
    }
    AccountRequest request;
    request.bottleneck = profile.bottleneck;
    request.priority = target.priority;
    request.cost = cost->second.busy;
    request.share = profile.share;
    request.relativeShare = profile.relativeShare;
    request.room = profile.share * arrived * request.cost;
    return m_accountShares->admit(now, *target.claim, request);
}

bool RootAdmission::passesLossAdmission(TimePoint now, const RootTarget &target, Profile &profile)
{
    m_treeCalls.clear();
    for (const auto &[name, cost] : profile.tree->costs) {
        if (cost.reachedShare >= m_options.minReachedShare) {
            m_treeCalls.push_back({ name, cost.calls });
        }
    }
    profile.lossAdmittedShare = m_lossAdmission.onArrival(now, target.priority, m_treeCalls);
    profile.startCredit += profile.lossAdmittedShare;
    if (profile.startCredit < 1) {
        return false;
    }
    profile.startCredit -= 1;
    return true;
}

double RootAdmission::shareOf(TimePoint now, const RootTarget &target, Profile &profile)
{
    double share = UNLIMITED_SHARE;
    profile.bottleneck = ServiceName();
    profile.relativeShare = 1;
    for (const auto &[name, cost] : profile.tree->costs) {
        if (cost.reachedShare < m_options.minReachedShare) {
            continue;
        }
        Service &service = m_services[name];
        recordDemand(now, service, target.priority, profile, cost.busy);
        const FittingShare own = fittingShare(now, service, target.priority, profile);
        if (own.share < share) {
            share = own.share;
            profile.relativeShare = own.relativeShare;
            profile.bottleneck = name;
        }
    }
    return share;
}

void RootAdmission::onRequestEnd(const RootTarget &target, RootResult result)
{
    Tree &tree = treeOf(target);
    tree.inFlight -= tree.inFlight > 0 ? 1 : 0;
    if (result == RootResult::Success) {
        tree.window = windowOf(tree) + 1;
    }
    if (result == RootResult::Failure) {
        tree.window = std::max(windowOf(tree) / 2, m_options.minWindow);
    }
}

/// The share refers to the usual arrivals and not to those of the moment: a service that is full at
/// the usual demand would be overloaded by a burst before it could report it.
bool RootAdmission::takeToken(TimePoint now, Profile &profile, double share) const
{
    const double rate = share * profile.arrivals.rate(now, m_options.demandAveragingTime);
    const double passed = std::chrono::duration<double>(now - profile.refilledAt).count();
    const double most = std::max(m_options.minBurst, rate * toSeconds(m_options.burst));
    profile.tokens = std::min(profile.tokens + rate * passed, most);
    profile.refilledAt = now;
    if (profile.tokens < 1 && share < UNLIMITED_SHARE) {
        return false;
    }
    profile.tokens = std::max(profile.tokens - 1, 0.0);
    return true;
}

/// The share actually admitted rather than the target share. While the target falls, requests are
/// still admitted by earlier tokens; with the low target each of them would represent many
/// requests, the demand would appear to grow, and the target would fall further.
DemandShare RootAdmission::admittedShare(TimePoint now, const RootTarget &target) const
{
    const Profile *profile = findProfile(target);
    if (!profile) {
        return WHOLE_DEMAND;
    }
    if (target.claim && profile->accountVerdict) {
        const auto whole = static_cast<double>(WHOLE_DEMAND.value());
        return DemandShare(static_cast<std::uint32_t>(std::lround(whole / profile->represented)));
    }
    const double arrived = profile->arrivals.rate(now, m_options.demandAveragingTime);
    const double admitted = profile->admitted.rate(now, m_options.demandAveragingTime);
    const double share = arrived > 0 ? std::min(admitted / arrived, 1.0) : 1;
    const auto reported = std::lround(share * static_cast<double>(WHOLE_DEMAND.value()));
    return DemandShare(
        static_cast<std::uint32_t>(std::max(reported, MIN_ADMITTED_SHARE_THOUSANDTHS)));
}

AdmissionBasis RootAdmission::basis(TimePoint now, const RootTarget &target) const
{
    AdmissionBasis basis;
    const Profile *profile = findProfile(target);
    if (!profile) {
        return basis;
    }
    basis.isKnown = isKnown(*profile->tree);
    basis.inFlight = profile->tree->inFlight;
    basis.window = windowOf(*profile->tree);
    basis.share = profile->share;
    basis.bottleneck = profile->bottleneck;
    basis.lossAdmittedShare = profile->lossAdmittedShare;
    if (target.claim && profile->accountVerdict) {
        basis.account = m_accountShares->status(now, target.claim->account, profile->bottleneck,
                                                target.priority);
        basis.isRefusedForAccount =
            !profile->accountVerdict->isAdmitted && !profile->accountVerdict->isEntitled;
    }
    const auto service = m_services.find(profile->bottleneck);
    if (service != m_services.end()) {
        basis.load = loadOf(now, service->second);
        basis.loadAge = std::chrono::duration_cast<Duration>(now - service->second.reportedAt);
    }
    return basis;
}

void RootAdmission::onAttemptEnd(TimePoint now, const RootTarget &target, const TreeUsage &usage,
                                 bool isComplete)
{
    for (const ServiceUsage &each : usage) {
        updateLoad(now, each);
        m_lossAdmission.onReport(now, each);
    }
    if (isComplete) {
        updateCosts(treeOf(target), usage);
    }
}

void RootAdmission::updateCosts(Tree &tree, const TreeUsage &usage) const
{
    ++tree.samples;
    const double weight = std::max(m_options.costWeight, 1.0 / tree.samples);
    // A service that the request did not reach cost nothing.
    for (auto &[name, cost] : tree.costs) {
        cost.busy *= 1 - weight;
        cost.reachedShare *= 1 - weight;
        cost.calls *= 1 - weight;
    }
    for (const ServiceUsage &each : usage) {
        Cost &cost = tree.costs[each.service];
        cost.busy += weight * static_cast<double>(each.busy.count());
        cost.reachedShare += weight;
        cost.calls += weight * each.calls;
    }
}

void RootAdmission::updateLoad(TimePoint now, const ServiceUsage &usage)
{
    Service &service = m_services[usage.service];
    const double reported =
        static_cast<double>(usage.load.value()) / static_cast<double>(FULL_LOAD.value());
    if (now - service.reportedAt > m_options.loadHold + m_options.loadDecay) {
        service.reports = 0;
    }
    ++service.reports;
    const double known = loadOf(now, service);
    // One of many entry daemons gets few reports. Weighted by their number alone, its load would be
    // seconds old, and all entry daemons together would alternate between admitting too much and
    // too little.
    const double forgotten =
        1 - std::exp(-toSeconds(now - service.reportedAt) / toSeconds(m_options.loadAveragingTime));
    const double weight = std::max({ m_options.loadWeight, 1.0 / service.reports, forgotten });
    service.load = known + weight * (reported - known);
    service.reportedAt = now;
}

void RootAdmission::recordDemand(TimePoint now, Service &service, Priority priority,
                                 const Profile &profile, double cost) const
{
    std::vector<ServiceDemand> &all = service.ruleDemands[priority];
    auto found = std::find_if(all.begin(), all.end(), [&profile](const ServiceDemand &demand) {
        return demand.profile == &profile;
    });
    if (found == all.end()) {
        found = all.insert(all.end(), ServiceDemand{ &profile, {}, 0 });
    }
    found->cost = cost;
    found->rate.add(now, cost, m_options.demandAveragingTime);
}

double RootAdmission::demandOf(TimePoint now, const std::vector<ServiceDemand> &ruleDemands) const
{
    double total = 0;
    for (const ServiceDemand &each : ruleDemands) {
        total += each.rate.rate(now, m_options.demandAveragingTime);
    }
    return total;
}

RootAdmission::FittingShare RootAdmission::fittingShare(TimePoint now, const Service &service,
                                                        Priority priority,
                                                        const Profile &profile) const
{
    double above = 0;
    double all = 0;
    for (const auto &[each, ruleDemands] : service.ruleDemands) {
        const double rate = demandOf(now, ruleDemands);
        above += each > priority ? rate : 0;
        all += rate;
    }
    const double load = std::max(loadOf(now, service), 1 / UNLIMITED_SHARE);
    return shareWithin(now, service.ruleDemands.at(priority), profile, all / load - above);
}

RootAdmission::FittingShare
RootAdmission::shareWithin(TimePoint now, const std::vector<ServiceDemand> &ruleDemands,
                           const Profile &profile, double capacity) const
{
    const double own = demandOf(now, ruleDemands);
    if (own <= 0) {
        return { UNLIMITED_SHARE };
    }
    if (!m_options.hasFairShares || capacity >= own || ruleDemands.size() == 1) {
        return { std::max(capacity / own, 0.0) };
    }
    std::vector<RuleDemand> demands;
    std::size_t index = 0;
    for (const ServiceDemand &each : ruleDemands) {
        index = each.profile == &profile ? demands.size() : index;
        demands.push_back({ each.rate.rate(now, m_options.demandAveragingTime), each.cost });
    }
    const std::vector<double> shares = allocateShares(demands, capacity);
    const double largest = *std::max_element(shares.begin(), shares.end());
    return { shares.at(index), largest > 0 ? shares.at(index) / largest : 1 };
}

double RootAdmission::loadOf(TimePoint now, const Service &service) const
{
    // Without new reports the load decays, so that no request is refused for good.
    const auto old = static_cast<double>((now - service.reportedAt - m_options.loadHold).count());
    const double forgotten =
        std::clamp(old / static_cast<double>(m_options.loadDecay.count()), 0.0, 1.0);
    return service.load * (1 - forgotten);
}

} // namespace ivyspar
