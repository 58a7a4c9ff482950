#include "coordination/upstreams/internal/upstreamregistry.h"

#include <algorithm>

namespace ivyspar {

std::unique_ptr<IUpstreamRegistry> makeUpstreamRegistry(const UpstreamRegistryOptions &options)
{
    return std::make_unique<UpstreamRegistry>(options);
}

UpstreamRegistry::UpstreamRegistry(const UpstreamRegistryOptions &options)
    : m_options(options)
{
}

UpstreamActions UpstreamRegistry::say(UpstreamVerb verb, const UpstreamReport &report,
                                      const char *why) const
{
    return { UpstreamAction{ verb, report, false, why } };
}

UpstreamActions UpstreamRegistry::onReport(TimePoint now, const UpstreamReport &report)
{
    if (isOfThePast(report)) {
        return {};
    }
    if (report.phase != UpstreamPhase::Ready) {
        return leave(report);
    }
    const auto found = m_runs.find(report.instance);
    if (found == m_runs.end()) {
        return begin(now, report);
    }
    Run &run = found->second;
    if (run.report.start < report.start) {
        // It crashed, and started again under its name. Its reports count from the start again:
        // taken for old ones they would leave it without work for good.
        UpstreamActions actions = end(found, "started-again");
        const UpstreamActions check = begin(now, report);
        actions.insert(actions.end(), check.begin(), check.end());
        return actions;
    }
    // A run serves one service as long as it lives: another one is said by another writer.
    if (report.sequence <= run.report.sequence || report.service != run.report.service) {
        return {};
    }
    const bool isChanged =
        run.report.slots != report.slots || run.report.endpoint != report.endpoint;
    run.report = report;
    run.heardAt = now;
    return run.isServing && isChanged ? say(UpstreamVerb::Serve, report, "changed")
                                      : UpstreamActions();
}

/// A late report of a run that has ended must not bring it back: its address may already belong to
/// another service. Nor may its late goodbye end the run that followed it.
bool UpstreamRegistry::isOfThePast(const UpstreamReport &report) const
{
    const auto gone = m_gone.find(report.instance);
    if (gone != m_gone.end() && report.start <= gone->second) {
        return true;
    }
    const auto found = m_runs.find(report.instance);
    const bool saysStart = report.start != UpstreamStart();
    return saysStart && found != m_runs.end() && report.start < found->second.report.start;
}

UpstreamActions UpstreamRegistry::begin(TimePoint now, const UpstreamReport &report)
{
    Run run;
    run.report = report;
    run.heardAt = now;
    Run &added = m_runs.emplace(report.instance, std::move(run)).first->second;
    return startCheck(added, "new");
}

UpstreamActions UpstreamRegistry::leave(const UpstreamReport &report)
{
    const auto found = m_runs.find(report.instance);
    if (found == m_runs.end()) {
        remember(report.instance, report.start);
        return {};
    }
    // A goodbye may not say which run it is of.
    remember(report.instance, std::max(report.start, found->second.report.start));
    UpstreamActions actions =
        end(found, report.phase == UpstreamPhase::Gone ? "goodbye" : "draining");
    for (UpstreamAction &action : actions) {
        action.isPlanned = true;
    }
    return actions;
}

UpstreamActions UpstreamRegistry::onHealth(TimePoint now, const UpstreamId &instance,
                                           const UpstreamHealth &health)
{
    const auto found = m_runs.find(instance);
    if (found == m_runs.end()) {
        return {};
    }
    Run &run = found->second;
    run.isChecking = false;
    run.nextCheck = now + m_options.checkInterval;
    const bool isOther = !health.instance.value().empty() && health.instance != instance;
    if (isOther) {
        remember(instance, run.report.start);
        return end(found, "other-instance");
    }
    if (health.isHealthy) {
        run.failedChecks = 0;
        run.heardAt = now;
        if (run.isServing) {
            return {};
        }
        run.isServing = true;
        UpstreamActions actions = supersede(run.report);
        actions.push_back(UpstreamAction{ UpstreamVerb::Serve, run.report, false, "confirmed" });
        return actions;
    }
    ++run.failedChecks;
    // A server that answers but is not healthy may be full; one that serves already goes on.
    if (run.isServing && !health.isSilent) {
        run.heardAt = now;
        return {};
    }
    if (run.failedChecks >= m_options.failedChecks && run.isServing) {
        return end(found, "silent");
    }
    if (run.failedChecks >= m_options.failedChecks && now - run.heardAt >= m_options.silence) {
        m_runs.erase(found);
    }
    return {};
}

UpstreamActions UpstreamRegistry::onDoubt(TimePoint /*now*/, const UpstreamId &instance)
{
    const auto found = m_runs.find(instance);
    if (found == m_runs.end() || found->second.isChecking) {
        return {};
    }
    return startCheck(found->second, "doubt");
}

UpstreamActions UpstreamRegistry::tick(TimePoint now)
{
    UpstreamActions actions;
    for (auto &[instance, run] : m_runs) {
        const bool isSilent = now - run.heardAt >= m_options.silence;
        const bool isDue = !run.isChecking && now >= run.nextCheck;
        const bool isDoubtful = !run.isServing || run.failedChecks > 0 || isSilent;
        if (isDue && isDoubtful) {
            const UpstreamActions check = startCheck(run, isSilent ? "silent" : "unconfirmed");
            actions.insert(actions.end(), check.begin(), check.end());
        }
    }
    return actions;
}

TimePoint UpstreamRegistry::nextTick() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[instance, run] : m_runs) {
        if (run.isChecking) {
            continue;
        }
        const bool isDoubtful = !run.isServing || run.failedChecks > 0;
        const TimePoint silentAt = run.heardAt + m_options.silence;
        next = std::min(next, isDoubtful ? run.nextCheck : std::max(run.nextCheck, silentAt));
    }
    return next;
}

UpstreamActions UpstreamRegistry::startCheck(Run &run, const char *why)
{
    run.isChecking = true;
    return say(UpstreamVerb::Check, run.report, why);
}

UpstreamActions UpstreamRegistry::end(Runs::iterator run, const char *why)
{
    UpstreamActions actions;
    if (run->second.isServing) {
        actions = say(UpstreamVerb::Stop, run->second.report, why);
    }
    m_runs.erase(run);
    return actions;
}

/// A run that has confirmed itself at an address proves that the runs before it there have ended.
UpstreamActions UpstreamRegistry::supersede(const UpstreamReport &report)
{
    UpstreamActions actions;
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        const auto current = run++;
        const bool isOlder =
            current->first != report.instance && current->second.report.endpoint == report.endpoint;
        if (isOlder) {
            remember(current->first, current->second.report.start);
            const UpstreamActions ended = end(current, "superseded");
            actions.insert(actions.end(), ended.begin(), ended.end());
        }
    }
    return actions;
}

void UpstreamRegistry::remember(const UpstreamId &instance, UpstreamStart start)
{
    const auto [gone, isNew] = m_gone.emplace(instance, start);
    if (!isNew) {
        gone->second = std::max(gone->second, start);
        return;
    }
    m_goneOrder.push_back(instance);
    if (m_goneOrder.size() > m_options.maxGone) {
        m_gone.erase(m_goneOrder.front());
        m_goneOrder.pop_front();
    }
}

} // namespace ivyspar
