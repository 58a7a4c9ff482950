#include "coordination/calls/internal/parentfinder.h"

namespace ivyspar {

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

void ParentFinder::onEnd(CallId call)
{
    const auto found = m_places.find(call);
    if (found == m_places.end()) {
        return;
    }
    m_running.erase(found->second);
    m_places.erase(found);
}

Parentage ParentFinder::find(ConnectionTally &tally, const RuleName &rule, TimePoint deadline)
{
    const Run *run = nearest(deadline);
    if (!run && !hasPossibleParent(deadline)) {
        ++tally.strangers;
    } else {
        ++(run ? tally.fits : tally.misfits);
    }
    Inner &inner = m_inner[rule];
    Parentage parentage;
    parentage.isInner = judge(tally, inner);
    if (!parentage.isInner) {
        return parentage;
    }
    if (run) {
        inner.parents.insert(run->rule);
    } else {
        run = likely(inner, deadline);
    }
    if (run) {
        parentage.parent = run->call;
    }
    return parentage;
}

bool ParentFinder::judge(const ConnectionTally &tally, Inner &inner) const
{
    const std::uint32_t requests = tally.fits + tally.misfits;
    const bool isCallers = tally.strangers > 0;
    const bool isKnown = isCallers || requests >= m_options.leastRequests;
    if (!isKnown) {
        return inner.isKnown ? inner.share > m_options.innerShare : tally.misfits == 0;
    }
    const bool isServers = !isCallers && tally.fits > m_options.fittingShare * requests;
    const double vote = isServers ? 1 : 0;
    inner.share = inner.isKnown ? inner.share + m_options.weight * (vote - inner.share) : vote;
    inner.isKnown = true;
    return isServers;
}

bool ParentFinder::hasPossibleParent(TimePoint deadline) const
{
    return m_running.lower_bound(deadline) != m_running.end();
}

const ParentFinder::Run *ParentFinder::nearest(TimePoint deadline) const
{
    const Run *found = nullptr;
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

const ParentFinder::Run *ParentFinder::likely(const Inner &inner, TimePoint deadline) const
{
    for (auto running = m_running.lower_bound(deadline); running != m_running.end(); ++running) {
        if (inner.parents.count(running->second.rule) > 0) {
            return &running->second;
        }
    }
    return nullptr;
}

} // namespace ivyspar
