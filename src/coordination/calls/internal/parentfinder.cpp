#include "coordination/calls/internal/parentfinder.h"

#include <algorithm>

namespace ivyspar {

namespace {

/// Past this many requests the older ones count half, so that a connection that changes hands is
/// found out.
constexpr std::uint32_t LONG_TALLY = 128;

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
    m_places[call] = m_running.emplace(deadline, Run{ call, rule });
}

void ParentFinder::onEnd(TimePoint now, CallId call)
{
    const auto found = m_places.find(call);
    if (found == m_places.end()) {
        return;
    }
    dropOldAnswers(now);
    RuleName answered;
    if (!m_answers.empty()) {
        answered = m_answers.front().second;
        m_answers.pop_front();
    }
    learn(found->second->second.rule, answered);
    m_lastEndAt = now;
    m_running.erase(found->second);
    m_places.erase(found);
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
    while (!m_answers.empty() && m_answers.front().first < now - m_options.echo) {
        m_answers.pop_front();
    }
}

void ParentFinder::learn(const RuleName &parent, const RuleName &answered)
{
    if (!answered.value().empty()) {
        m_inner[answered].signs[parent].count += 1;
    }
    for (auto &[rule, inner] : m_inner) {
        const auto signs = inner.signs.find(parent);
        if (signs != inner.signs.end()) {
            const double sign = rule == answered ? 1 : 0;
            signs->second.share += m_options.signWeight * (sign - signs->second.share);
        }
    }
}

Parentage ParentFinder::find(TimePoint now, ConnectionTally &tally, const RuleName &rule,
                             TimePoint deadline, RequestMaker maker)
{
    Run *run = nearest(deadline);
    count(tally, run != nullptr, hasPossibleParent(deadline));
    Inner &inner = m_inner[rule];
    Parentage parentage;
    parentage.isInner = judge(tally, inner) || maker == RequestMaker::Server;
    if (!parentage.isInner) {
        return parentage;
    }
    // The server went on to its next call.
    dropOldAnswers(now);
    if (!m_answers.empty()) {
        m_answers.pop_front();
    }
    // Where servers give their calls deadlines of their own, a fit is nothing but chance.
    if (!run || !isFitting(tally)) {
        run = likely(inner, deadline);
    }
    if (run) {
        parentage.parent = run->call;
    }
    return parentage;
}

bool ParentFinder::isServerBusy(TimePoint now) const
{
    return !m_running.empty() || (m_lastEndAt && now - *m_lastEndAt < m_options.afterglow);
}

void ParentFinder::count(ConnectionTally &tally, bool isFit, bool isPossible)
{
    if (tally.unattributed + tally.matches + tally.mismatches >= LONG_TALLY) {
        tally.unattributed /= 2;
        tally.matches /= 2;
        tally.mismatches /= 2;
    }
    std::uint32_t &counter = isFit ? tally.matches
        : isPossible               ? tally.mismatches
                                   : tally.unattributed;
    ++counter;
}

bool ParentFinder::judge(const ConnectionTally &tally, Inner &inner) const
{
    const std::uint32_t requests = tally.unattributed + tally.matches + tally.mismatches;
    const bool isServersConnection = isServers(tally);
    if (tally.unattributed > 0 || requests >= m_options.fewRequests) {
        const double vote = isServersConnection ? 1 : 0;
        inner.share = inner.isKnown ? inner.share + m_options.weight * (vote - inner.share) : vote;
        inner.isKnown = true;
    }
    if (requests >= m_options.manyRequests || !isServersConnection) {
        return isServersConnection;
    }
    return inner.isKnown && inner.share > m_options.innerShare;
}

bool ParentFinder::isFitting(const ConnectionTally &tally) const
{
    const std::uint32_t requests = tally.unattributed + tally.matches + tally.mismatches;
    return tally.matches > m_options.fittingShare * requests;
}

bool ParentFinder::isServers(const ConnectionTally &tally) const
{
    const std::uint32_t requests = tally.unattributed + tally.matches + tally.mismatches;
    return tally.unattributed <= m_options.strangerShare * requests;
}

bool ParentFinder::hasPossibleParent(TimePoint deadline) const
{
    return m_running.lower_bound(deadline) != m_running.end();
}

ParentFinder::Run *ParentFinder::nearest(TimePoint deadline)
{
    Run *found = nullptr;
    Duration best = Duration::max();
    auto running = m_running.lower_bound(deadline - m_options.after);
    for (; running != m_running.end() && running->first <= deadline + m_options.before; ++running) {
        const Duration distance = std::chrono::abs(deadline - running->first);
        if (distance < best) {
            found = &running->second;
            best = distance;
        }
    }
    return found;
}

ParentFinder::Run *ParentFinder::likely(const Inner &inner, TimePoint deadline)
{
    Run *found = nullptr;
    for (auto running = m_running.lower_bound(deadline); running != m_running.end(); ++running) {
        Run &run = running->second;
        if (isParent(inner, run.rule) && (!found || run.guessed < found->guessed)) {
            found = &run;
        }
    }
    if (found) {
        ++found->guessed;
    }
    return found;
}

bool ParentFinder::isParent(const Inner &inner, const RuleName &rule) const
{
    const auto signs = inner.signs.find(rule);
    if (signs == inner.signs.end() || signs->second.count < m_options.leastSigns) {
        return false;
    }
    double most = 0;
    for (const auto &[other, each] : inner.signs) {
        most = std::max(most, each.share);
    }
    return signs->second.share >= m_options.parentShare * most;
}

} // namespace ivyspar
