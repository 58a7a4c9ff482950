#include "coordination/calls/internal/parentfinder.h"

#include <algorithm>

namespace ivyspar {

namespace {

/// Above this number of requests the older ones count half, so that a connection that changes hands
/// is noticed.
constexpr std::uint32_t MAX_TALLY = 128;

} // namespace

std::unique_ptr<IParentFinder> makeParentFinder(const ParentFinderOptions &options)
{
    return std::make_unique<ParentFinder>(options);
}

ParentFinder::ParentFinder(const ParentFinderOptions &options)
    : m_options(options)
{
}

void ParentFinder::onStart(CallId call, const RuleName &rule, TimePoint deadline)
{
    m_byCall[call] = m_running.emplace(deadline, RunningCall{ call, rule });
}

void ParentFinder::onEnd(TimePoint now, CallId call)
{
    const auto found = m_byCall.find(call);
    if (found == m_byCall.end()) {
        return;
    }
    dropOldAnswers(now);
    RuleName answered;
    if (!m_answers.empty()) {
        answered = m_answers.front().second;
        m_answers.pop_front();
    }
    learnParent(found->second->second.rule, answered);
    m_lastEndAt = now;
    m_running.erase(found->second);
    m_byCall.erase(found);
}

void ParentFinder::onInnerAnswer(TimePoint now, const RuleName &rule)
{
    dropOldAnswers(now);
    m_answers.emplace_back(now, rule);
}

std::optional<CallId> ParentFinder::findRunning(const RuleName &rule) const
{
    const auto found =
        std::find_if(m_running.rbegin(), m_running.rend(),
                     [&rule](const auto &running) { return running.second.rule == rule; });
    return found == m_running.rend() ? std::nullopt : std::optional(found->second.call);
}

void ParentFinder::dropOldAnswers(TimePoint now)
{
    while (!m_answers.empty() && m_answers.front().first < now - m_options.continuationTime) {
        m_answers.pop_front();
    }
}

void ParentFinder::learnParent(const RuleName &parent, const RuleName &answered)
{
    if (!answered.value().empty()) {
        m_rules[answered].evidence[parent].count += 1;
    }
    for (auto &[rule, stats] : m_rules) {
        const auto evidence = stats.evidence.find(parent);
        if (evidence != stats.evidence.end()) {
            const double observed = rule == answered ? 1 : 0;
            evidence->second.share +=
                m_options.evidenceWeight * (observed - evidence->second.share);
        }
    }
}

ParentMatch ParentFinder::find(TimePoint now, ConnectionTally &tally, const RuleName &rule,
                               TimePoint deadline, RequestSender sender)
{
    RunningCall *run = findByDeadline(deadline);
    count(tally, run != nullptr, hasPossibleParent(deadline));
    RuleStats &stats = m_rules[rule];
    ParentMatch match;
    match.isInner = isFromServer(tally, stats) || sender == RequestSender::Server;
    if (!match.isInner) {
        return match;
    }
    // The server has continued with its next call.
    dropOldAnswers(now);
    if (!m_answers.empty()) {
        m_answers.pop_front();
    }
    // If servers set deadlines of their own, a matching deadline is mere chance.
    if (!run || !hasInheritedDeadlines(tally)) {
        run = findByEvidence(stats, deadline);
    }
    if (run) {
        match.parent = run->call;
    }
    return match;
}

bool ParentFinder::isServerBusy(TimePoint now) const
{
    return !m_running.empty() || (m_lastEndAt && now - *m_lastEndAt < m_options.abandonedCallTime);
}

void ParentFinder::count(ConnectionTally &tally, bool hasMatch, bool isPossible)
{
    if (tally.unattributed + tally.matches + tally.mismatches >= MAX_TALLY) {
        tally.unattributed /= 2;
        tally.matches /= 2;
        tally.mismatches /= 2;
    }
    std::uint32_t &counter = hasMatch ? tally.matches
        : isPossible                  ? tally.mismatches
                                      : tally.unattributed;
    ++counter;
}

bool ParentFinder::isFromServer(const ConnectionTally &tally, RuleStats &stats) const
{
    const std::uint32_t requests = tally.unattributed + tally.matches + tally.mismatches;
    const bool isServer = isServerConnection(tally);
    if (tally.unattributed > 0 || requests >= m_options.minRequestsToLearn) {
        const double vote = isServer ? 1 : 0;
        stats.share =
            stats.isKnown ? stats.share + m_options.learnWeight * (vote - stats.share) : vote;
        stats.isKnown = true;
    }
    if (requests >= m_options.minRequestsToDecide || !isServer) {
        return isServer;
    }
    return stats.isKnown && stats.share > m_options.minInnerShare;
}

bool ParentFinder::hasInheritedDeadlines(const ConnectionTally &tally) const
{
    const std::uint32_t requests = tally.unattributed + tally.matches + tally.mismatches;
    return tally.matches > m_options.minMatchShare * requests;
}

bool ParentFinder::isServerConnection(const ConnectionTally &tally) const
{
    const std::uint32_t requests = tally.unattributed + tally.matches + tally.mismatches;
    return tally.unattributed <= m_options.maxUnattributedShare * requests;
}

bool ParentFinder::hasPossibleParent(TimePoint deadline) const
{
    return m_running.lower_bound(deadline) != m_running.end();
}

ParentFinder::RunningCall *ParentFinder::findByDeadline(TimePoint deadline)
{
    RunningCall *found = nullptr;
    Duration best = Duration::max();
    auto running = m_running.lower_bound(deadline - m_options.deadlineLate);
    for (; running != m_running.end() && running->first <= deadline + m_options.deadlineEarly;
         ++running) {
        const Duration distance = std::chrono::abs(deadline - running->first);
        if (distance < best) {
            found = &running->second;
            best = distance;
        }
    }
    return found;
}

ParentFinder::RunningCall *ParentFinder::findByEvidence(const RuleStats &stats, TimePoint deadline)
{
    RunningCall *found = nullptr;
    for (auto running = m_running.lower_bound(deadline); running != m_running.end(); ++running) {
        RunningCall &run = running->second;
        if (isPossibleParent(stats, run.rule)
            && (!found || run.guessedInnerCalls < found->guessedInnerCalls)) {
            found = &run;
        }
    }
    if (found) {
        ++found->guessedInnerCalls;
    }
    return found;
}

bool ParentFinder::isPossibleParent(const RuleStats &stats, const RuleName &rule) const
{
    const auto evidence = stats.evidence.find(rule);
    if (evidence == stats.evidence.end() || evidence->second.count < m_options.minEvidence) {
        return false;
    }
    double most = 0;
    for (const auto &[other, each] : stats.evidence) {
        most = std::max(most, each.share);
    }
    return evidence->second.share >= m_options.minRelativeShare * most;
}

} // namespace ivyspar
