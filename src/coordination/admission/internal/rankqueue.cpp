#include "coordination/admission/internal/rankqueue.h"

#include <algorithm>

#include <algorithm>

#include "state/rank.h"

namespace ivyspar {

namespace {

/// A kind of which a smaller part of the mean share was started goes first in its group. Shares are
/// averages of some seconds, so this is above the quarter of the mean that each kind must get.
constexpr double OWED_PART = 0.5;
/// Below this mean share nothing is owed: hardly any call is started.
constexpr double MIN_MEAN_SHARE = 0.001;
/// Rules are named by peers; a faulty one must not fill the memory.
constexpr std::size_t MAX_IDLE_KINDS = 256;

constexpr std::uint32_t COMMITTED = 0x100;

} // namespace

RankQueue::RankQueue(QueueOrder order)
    : m_order(order)
{
}

RankQueue::OrderKey RankQueue::orderOf(const GateRequest &request)
{
    const std::int64_t arrival = ++m_arrivals;
    switch (m_order) {
    case QueueOrder::Fifo:
        return { 0, Tier::NoObjective, 0, -arrival };
    case QueueOrder::Newest:
        return { priorityOf(request.rank).value(), Tier::NoObjective, 0, arrival };
    case QueueOrder::Rank:
        return { request.rank.value(), Tier::NoObjective, 0, arrival };
    case QueueOrder::Objective:
        break;
    }
    return objectiveOrderOf(request, arrival);
}

RankQueue::OrderKey RankQueue::objectiveOrderOf(const GateRequest &request,
                                                std::int64_t arrival) const
{
    const Group group = groupOf(request);
    if (!request.objective) {
        return { group, Tier::NoObjective, request.rank.value(), arrival };
    }
    return { group, Tier::OnTime, 0, -arrival };
}

/// Calls without an objective keep the order of their ranks, where the calls of admitted requests
/// precede all others. Among calls with one the priority of the root request decides first:
/// otherwise the most urgent requests would wait behind the inner calls of less urgent ones.
RankQueue::Group RankQueue::groupOf(const GateRequest &request)
{
    const bool isFirst = isCommitted(request.rank) && !request.objective;
    const std::uint32_t inner = depthOf(request.rank) > Depth(0) ? 1 : 0;
    const std::uint32_t priority = priorityOf(request.rank).value();
    return (((isFirst ? COMMITTED : 0) | priority) << 1) | inner;
}

void RankQueue::push(const GateRequest &request, Duration expected)
{
    const auto [place, isNew] = m_calls.try_emplace(request.id);
    if (!isNew) {
        return;
    }
    Waiting &waiting = place->second;
    waiting.call.request = request;
    waiting.order = orderOf(request);
    m_byDeadline.insert(waiting);
    m_mayGoElsewhere += request.mayGoElsewhere ? 1 : 0;
    if (m_order == QueueOrder::Objective) {
        waiting.kind = &kindOf(std::get<Group>(waiting.order), request.rule);
    }
    if (m_order == QueueOrder::Objective && request.objective) {
        const TimePoint latestStart = *request.objective - expected;
        waiting.call.latestStart = latestStart;
        std::get<2>(waiting.order) = -latestStart.time_since_epoch().count();
        m_byLatestStart.insert(waiting);
        ++waiting.kind->objectives;
    }
    m_byOrder.insert(waiting);
    if (waiting.kind) {
        waiting.kind->calls.insert(waiting);
    }
}

RankQueue::Kind &RankQueue::kindOf(Group group, const RuleName &rule)
{
    const auto [place, isNew] = m_kinds.try_emplace({ group, rule });
    if (isNew && m_kinds.size() > MAX_IDLE_KINDS) {
        // Keeps the new one: it has no calls yet.
        auto node = m_kinds.extract(place);
        removeIdleKinds();
        return m_kinds.insert(std::move(node)).position->second;
    }
    return place->second;
}

void RankQueue::removeIdleKinds()
{
    for (auto it = m_kinds.begin(); it != m_kinds.end();) {
        it = it->second.calls.empty() ? m_kinds.erase(it) : std::next(it);
    }
}

void RankQueue::advance(TimePoint now)
{
    while (!m_byLatestStart.empty() && *m_byLatestStart.begin()->call.latestStart < now) {
        moveToLate(*m_byLatestStart.begin());
    }
}

std::optional<QueuedCall> RankQueue::popLastThatMayGoElsewhere()
{
    if (m_mayGoElsewhere == 0) {
        return std::nullopt;
    }
    const auto last = std::find_if(m_byOrder.begin(), m_byOrder.end(), [](const Waiting &waiting) {
        return waiting.call.request.mayGoElsewhere;
    });
    return extract(*last);
}

/// Late answers still have value until their deadline. The newest late call goes first: started
/// just before its deadline, the oldest one would often time out after its work was done.
void RankQueue::moveToLate(Waiting &waiting)
{
    static_cast<LatestStartHook &>(waiting).unlink();
    static_cast<OrderHook &>(waiting).unlink();
    static_cast<KindHook &>(waiting).unlink();
    std::get<Tier>(waiting.order) = Tier::Late;
    std::get<2>(waiting.order) = -std::get<3>(waiting.order);
    m_byOrder.insert(waiting);
    waiting.kind->calls.insert(waiting);
}

QueuedCall RankQueue::extract(const Waiting &waiting)
{
    QueuedCall call = waiting.call;
    remove(call.request.id);
    return call;
}

QueuedCall RankQueue::popFirst(TimePoint now)
{
    const Waiting &first = *m_byOrder.rbegin();
    if (!first.kind) {
        return extract(first);
    }
    const Group group = std::get<Group>(first.order);
    const bool isBalanced = m_calls.size() > 1 && hasObjectives(group);
    Kind *owed = isBalanced ? findOwed(now, group) : nullptr;
    Kind &firstKind = *first.kind;
    Kind &kind = owed ? *owed : firstKind;
    kind.share.onStart(now);
    QueuedCall call = extract(*kind.calls.rbegin());
    call.isOwed = owed && owed != &firstKind;
    return call;
}

QueuedCall RankQueue::popLast(TimePoint now)
{
    const Waiting &last = *m_byOrder.begin();
    if (!last.kind) {
        return extract(last);
    }
    Kind *kind = last.kind;
    const Group group = std::get<Group>(last.order);
    if (hasObjectives(group)) {
        const bool isOnTime = std::get<Tier>(last.order) == Tier::OnTime;
        if (isOnTime || isOwed(*kind, meanShare(now, group))) {
            kind = &findBestServed(group, *kind);
        }
    }
    kind->share.onRefusal(now);
    return extract(*kind->calls.begin());
}

QueuedCall RankQueue::popEarliest(TimePoint now)
{
    const Waiting &earliest = *m_byDeadline.begin();
    if (earliest.kind) {
        earliest.kind->share.onRefusal(now);
    }
    return extract(earliest);
}

std::pair<RankQueue::Kinds::iterator, RankQueue::Kinds::iterator> RankQueue::kindsOf(Group group)
{
    return { m_kinds.lower_bound({ group, RuleName() }),
             m_kinds.lower_bound({ group + 1, RuleName() }) };
}

bool RankQueue::hasObjectives(Group group)
{
    const auto [begin, end] = kindsOf(group);
    return std::any_of(begin, end, [](const auto &each) { return each.second.objectives > 0; });
}

double RankQueue::meanShare(TimePoint now, Group group)
{
    double starts = 0;
    double decided = 0;
    const auto [begin, end] = kindsOf(group);
    for (auto it = begin; it != end; ++it) {
        starts += it->second.share.starts(now);
        decided += it->second.share.decided(now);
    }
    return decided > 0 ? starts / decided : 1;
}

bool RankQueue::isOwed(const Kind &kind, double meanShare)
{
    return meanShare > MIN_MEAN_SHARE && kind.share.share() < OWED_PART * meanShare;
}

RankQueue::Kind *RankQueue::findOwed(TimePoint now, Group group)
{
    const double mean = meanShare(now, group);
    Kind *most = nullptr;
    const auto [begin, end] = kindsOf(group);
    for (auto it = begin; it != end; ++it) {
        Kind &kind = it->second;
        if (kind.calls.empty() || !isOwed(kind, mean)) {
            continue;
        }
        if (!most || kind.share.share() < most->share.share()) {
            most = &kind;
        }
    }
    return most;
}

RankQueue::Kind &RankQueue::findBestServed(Group group, Kind &first)
{
    Kind *best = &first;
    const auto [begin, end] = kindsOf(group);
    for (auto it = begin; it != end; ++it) {
        Kind &kind = it->second;
        if (!kind.calls.empty() && kind.share.share() > best->share.share()) {
            best = &kind;
        }
    }
    return *best;
}

TimePoint RankQueue::earliestDeadline() const
{
    return m_byDeadline.empty() ? TimePoint::max() : m_byDeadline.begin()->call.request.deadline;
}

bool RankQueue::remove(CallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return false;
    }
    const Waiting &waiting = found->second;
    if (waiting.call.latestStart) {
        --waiting.kind->objectives;
    }
    m_mayGoElsewhere -= waiting.call.request.mayGoElsewhere ? 1 : 0;
    m_calls.erase(found);
    return true;
}

} // namespace ivyspar
