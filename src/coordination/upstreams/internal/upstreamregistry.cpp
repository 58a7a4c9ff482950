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

UpstreamActions UpstreamRegistry::makeActions(UpstreamVerb verb, const UpstreamReport &report,
                                              const char *reason) const
{
    return { UpstreamAction{ verb, report, false, reason } };
}

UpstreamActions UpstreamRegistry::onReport(TimePoint now, const UpstreamReport &report)
{
    if (isStale(report)) {
        return {};
    }
    if (report.phase != UpstreamPhase::Ready) {
        return onLeaving(report);
    }
    const auto found = m_runs.find(report.run.instance);
    if (found == m_runs.end()) {
        return addRun(now, report);
    }
    Run &run = found->second;
    if (run.report.run.start < report.run.start) {
        // The server restarted under the same instance id, and its sequence numbers start again. If
        // they were considered stale, the server would never receive calls.
        UpstreamActions actions = endRun(found, "started-again");
        const UpstreamActions check = addRun(now, report);
        actions.insert(actions.end(), check.begin(), check.end());
        return actions;
    }
    // A run never changes its service, nor loses its start time: such a report comes from another
    // sender.
    if (report.run != run.report.run || report.service != run.report.service
        || report.sequence <= run.report.sequence) {
        return {};
    }
    const bool isChanged =
        run.report.slots != report.slots || run.report.endpoint != report.endpoint;
    run.report = report;
    run.lastHeardAt = now;
    return run.isServing && isChanged ? makeActions(UpstreamVerb::Serve, report, "changed")
                                      : UpstreamActions();
}

/// A delayed report must not reactivate a run that has ended: its address may belong to another
/// service by now. A delayed goodbye must not end the run that followed it.
bool UpstreamRegistry::isStale(const UpstreamReport &report) const
{
    const auto ended = m_endedRuns.find(report.run.instance);
    if (ended != m_endedRuns.end() && report.run.start <= ended->second) {
        return true;
    }
    const auto found = m_runs.find(report.run.instance);
    const bool saysStart = report.run.start != UpstreamStart();
    return saysStart && found != m_runs.end() && report.run.start < found->second.report.run.start;
}

UpstreamActions UpstreamRegistry::addRun(TimePoint now, const UpstreamReport &report)
{
    Run run;
    run.report = report;
    run.lastHeardAt = now;
    Run &added = m_runs.emplace(report.run.instance, std::move(run)).first->second;
    return requestCheck(added, "new");
}

UpstreamActions UpstreamRegistry::onLeaving(const UpstreamReport &report)
{
    const auto found = m_runs.find(report.run.instance);
    if (found == m_runs.end()) {
        recordEnded(report.run);
        return {};
    }
    // A goodbye may lack the start time of its run.
    recordEnded(report.run);
    recordEnded(found->second.report.run);
    UpstreamActions actions =
        endRun(found, report.phase == UpstreamPhase::Gone ? "goodbye" : "draining");
    for (UpstreamAction &action : actions) {
        action.isPlanned = true;
    }
    return actions;
}

UpstreamActions UpstreamRegistry::onHealth(TimePoint now, const UpstreamRun &checked,
                                           const UpstreamHealth &health)
{
    const auto found = findRun(checked);
    if (found == m_runs.end()) {
        return {};
    }
    Run &run = found->second;
    run.isChecking = false;
    run.nextCheck = now + m_options.checkInterval;
    const bool isOther = !health.instance.value().empty() && health.instance != checked.instance;
    if (isOther) {
        recordEnded(run.report.run);
        return endRun(found, "other-instance");
    }
    if (health.isHealthy) {
        run.failedChecks = 0;
        run.lastHeardAt = now;
        if (run.isServing) {
            return {};
        }
        run.isServing = true;
        UpstreamActions actions = supersede(run.report);
        actions.push_back(UpstreamAction{ UpstreamVerb::Serve, run.report, false, "confirmed" });
        return actions;
    }
    ++run.failedChecks;
    // A server that answers but is unhealthy may be at capacity; a confirmed one keeps receiving
    // calls.
    if (run.isServing && !health.isSilent) {
        run.lastHeardAt = now;
        return {};
    }
    if (run.failedChecks >= m_options.maxFailedChecks && run.isServing) {
        return endRun(found, "silent");
    }
    if (run.failedChecks >= m_options.maxFailedChecks
        && now - run.lastHeardAt >= m_options.silenceTimeout) {
        m_runs.erase(found);
    }
    return {};
}

UpstreamActions UpstreamRegistry::onContactFailure(TimePoint /*now*/, const UpstreamRun &contacted)
{
    const auto found = findRun(contacted);
    if (found == m_runs.end() || found->second.isChecking) {
        return {};
    }
    return requestCheck(found->second, "doubt");
}

/// A health check or a call may end when its server has already started again.
UpstreamRegistry::Runs::iterator UpstreamRegistry::findRun(const UpstreamRun &run)
{
    const auto found = m_runs.find(run.instance);
    return found != m_runs.end() && found->second.report.run == run ? found : m_runs.end();
}

UpstreamActions UpstreamRegistry::tick(TimePoint now)
{
    UpstreamActions actions;
    for (auto &[instance, run] : m_runs) {
        const bool isSilent = now - run.lastHeardAt >= m_options.silenceTimeout;
        const bool isDue = !run.isChecking && now >= run.nextCheck;
        const bool isDoubtful = !run.isServing || run.failedChecks > 0 || isSilent;
        if (isDue && isDoubtful) {
            const UpstreamActions check = requestCheck(run, isSilent ? "silent" : "unconfirmed");
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
        const TimePoint silentAt = run.lastHeardAt + m_options.silenceTimeout;
        next = std::min(next, isDoubtful ? run.nextCheck : std::max(run.nextCheck, silentAt));
    }
    return next;
}

UpstreamActions UpstreamRegistry::requestCheck(Run &run, const char *reason)
{
    run.isChecking = true;
    return makeActions(UpstreamVerb::Check, run.report, reason);
}

UpstreamActions UpstreamRegistry::endRun(Runs::iterator run, const char *reason)
{
    UpstreamActions actions;
    if (run->second.isServing) {
        actions = makeActions(UpstreamVerb::Stop, run->second.report, reason);
    }
    m_runs.erase(run);
    return actions;
}

/// A run that is confirmed at an address proves that the earlier runs at that address have ended.
UpstreamActions UpstreamRegistry::supersede(const UpstreamReport &report)
{
    UpstreamActions actions;
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        const auto current = run++;
        const bool isOlder = current->first != report.run.instance
            && current->second.report.endpoint == report.endpoint;
        if (isOlder) {
            recordEnded(current->second.report.run);
            const UpstreamActions ended = endRun(current, "superseded");
            actions.insert(actions.end(), ended.begin(), ended.end());
        }
    }
    return actions;
}

void UpstreamRegistry::recordEnded(const UpstreamRun &run)
{
    const auto [ended, isNew] = m_endedRuns.emplace(run.instance, run.start);
    if (!isNew) {
        ended->second = std::max(ended->second, run.start);
        return;
    }
    m_endedOrder.push_back(run.instance);
    if (m_endedOrder.size() > m_options.maxEndedRuns) {
        m_endedRuns.erase(m_endedOrder.front());
        m_endedOrder.pop_front();
    }
}

} // namespace ivyspar
