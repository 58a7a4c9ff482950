#include "coordination/admission/internal/rankqueue.h"

#include "state/rank.h"

namespace ivyspar {

RankQueue::RankQueue(QueueOrder order)
    : m_order(order)
{
}

RankQueue::OrderKey RankQueue::orderOf(const GateRequest &request)
{
    const std::int64_t arrival = ++m_arrivals;
    switch (m_order) {
    case QueueOrder::Fifo:
        return { 0, -arrival };
    case QueueOrder::Newest:
        return { priorityOf(request.rank).value(), arrival };
    case QueueOrder::Rank:
        break;
    }
    return { request.rank.value(), arrival };
}

void RankQueue::push(const GateRequest &request)
{
    const auto [place, isNew] = m_calls.try_emplace(request.id);
    if (!isNew) {
        return;
    }
    Waiting &call = place->second;
    call.request = request;
    call.order = orderOf(request);
    m_byOrder.insert(call);
    m_byDeadline.insert(call);
}

GateRequest RankQueue::extract(const Waiting &call)
{
    const GateRequest request = call.request;
    m_calls.erase(request.id);
    return request;
}

GateRequest RankQueue::popFirst()
{
    return extract(*m_byOrder.rbegin());
}

GateRequest RankQueue::popLast()
{
    return extract(*m_byOrder.begin());
}

std::optional<GateRequest> RankQueue::popLastThatMayGoElsewhere()
{
    for (const Waiting &call : m_byOrder) {
        if (call.request.mayGoElsewhere) {
            return extract(call);
        }
    }
    return std::nullopt;
}

GateRequest RankQueue::popEarliest()
{
    return extract(*m_byDeadline.begin());
}

TimePoint RankQueue::earliestDeadline() const
{
    return m_byDeadline.empty() ? TimePoint::max() : m_byDeadline.begin()->request.deadline;
}

bool RankQueue::remove(CallId id)
{
    return m_calls.erase(id) > 0;
}

} // namespace ivyspar
