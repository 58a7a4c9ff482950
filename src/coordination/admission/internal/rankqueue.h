#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <tuple>
#include <unordered_map>

#include "coordination/admission/gatefactory.h"
#include "coordination/admission/igate.h"

namespace ivyspar {

/// Calls that wait for a slot, in order of admission and of deadline. All operations are O(log n).
class RankQueue
{
public:
    explicit RankQueue(QueueOrder order);

    bool isEmpty() const { return m_byId.empty(); }
    std::size_t size() const { return m_byId.size(); }

    void push(const GateRequest &request);
    /// Removes the call to be started next. The queue must not be empty.
    GateRequest popFirst();
    /// Removes the call that gives way when the queue is too long. The queue must not be empty.
    GateRequest popLast();
    /// Removes the call with the earliest deadline. The queue must not be empty.
    GateRequest popEarliest();
    TimePoint earliestDeadline() const;
    bool remove(CallId id);

private:
    /// Importance, order of arrival and id; the last in the set is started first.
    using OrderKey = std::tuple<std::uint32_t, std::int64_t, std::uint64_t>;
    using DeadlineKey = std::pair<TimePoint, std::uint64_t>;
    struct Waiting
    {
        GateRequest request;
        OrderKey key;
    };

    OrderKey keyOf(const GateRequest &request);
    GateRequest take(std::uint64_t id);

    QueueOrder m_order;
    std::int64_t m_arrivals = 0;
    std::unordered_map<std::uint64_t, Waiting> m_byId;
    std::set<OrderKey> m_byOrder;
    std::set<DeadlineKey> m_byDeadline;
};

} // namespace ivyspar
