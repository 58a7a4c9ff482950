#include "coordination/admission/internal/rankqueue.h"

#include "state/rank.h"

namespace ivyspar {

RankQueue::RankQueue(QueueOrder order)
    : m_order(order)
{
}

RankQueue::OrderKey RankQueue::keyOf(const GateRequest &request)
{
    const std::int64_t arrival = ++m_arrivals;
    switch (m_order) {
    case QueueOrder::Fifo:
        return { 0, -arrival, request.id.value() };
    case QueueOrder::Newest:
        return { priorityOf(request.rank).value(), arrival, request.id.value() };
    case QueueOrder::Rank:
        break;
    }
    return { request.rank.value(), arrival, request.id.value() };
}

void RankQueue::push(const GateRequest &request)
{
    const OrderKey key = keyOf(request);
    const std::uint64_t id = request.id.value();
    m_byOrder.insert(key);
    m_byDeadline.insert({ request.deadline, id });
    m_byId.insert({ id, Waiting{ request, key } });
}

GateRequest RankQueue::take(std::uint64_t id)
{
    const auto found = m_byId.find(id);
    const Waiting waiting = found->second;
    m_byOrder.erase(waiting.key);
    m_byDeadline.erase({ waiting.request.deadline, id });
    m_byId.erase(found);
    return waiting.request;
}

GateRequest RankQueue::popFirst()
{
    return take(std::get<2>(*m_byOrder.rbegin()));
}

GateRequest RankQueue::popLast()
{
    return take(std::get<2>(*m_byOrder.begin()));
}

GateRequest RankQueue::popEarliest()
{
    return take(m_byDeadline.begin()->second);
}

TimePoint RankQueue::earliestDeadline() const
{
    return m_byDeadline.empty() ? TimePoint::max() : m_byDeadline.begin()->first;
}

bool RankQueue::remove(CallId id)
{
    if (m_byId.count(id.value()) == 0) {
        return false;
    }
    take(id.value());
    return true;
}

} // namespace ivyspar
