#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>
#include <unordered_map>

#include <boost/intrusive/set.hpp>

#include "coordination/admission/gatefactory.h"
#include "coordination/admission/igate.h"

namespace ivyspar {

/// Calls that wait for a slot, ordered by admission and by deadline. Operations take O(log n).
class RankQueue
{
public:
    explicit RankQueue(QueueOrder order);

    bool isEmpty() const { return m_calls.empty(); }
    std::size_t size() const { return m_calls.size(); }

    void push(const GateRequest &request);
    /// Removes the call to start next. The queue must not be empty.
    GateRequest popFirst();
    /// Removes the call to refuse when the queue is too long. The queue must not be empty.
    GateRequest popLast();
    /// As `popLast`, among the calls that may go to another server; nothing if there is none.
    std::optional<GateRequest> popLastThatMayGoElsewhere();
    /// Removes the call with the earliest deadline. The queue must not be empty.
    GateRequest popEarliest();
    /// `TimePoint::max()` when the queue is empty.
    TimePoint earliestDeadline() const;
    /// Returns false if the call is not queued.
    bool remove(CallId id);

private:
    using Unlinking = boost::intrusive::link_mode<boost::intrusive::auto_unlink>;
    using OrderHook =
        boost::intrusive::set_base_hook<boost::intrusive::tag<struct ByOrder>, Unlinking>;
    using DeadlineHook =
        boost::intrusive::set_base_hook<boost::intrusive::tag<struct ByDeadline>, Unlinking>;
    /// Rank or priority, then order of arrival; the largest key is started first.
    using OrderKey = std::tuple<std::uint32_t, std::int64_t>;

    /// A queued call; unlinks itself from both sets on destruction.
    struct Waiting : OrderHook, DeadlineHook
    {
        GateRequest request;
        OrderKey order;
    };
    struct OrderOf
    {
        using type =
            OrderKey; // NOLINT(readability-identifier-naming): required by Boost.Intrusive.
        type operator()(const Waiting &call) const { return call.order; }
    };
    struct DeadlineOf
    {
        using type =
            TimePoint; // NOLINT(readability-identifier-naming): required by Boost.Intrusive.
        type operator()(const Waiting &call) const { return call.request.deadline; }
    };
    using OrderSet = boost::intrusive::multiset<Waiting, boost::intrusive::base_hook<OrderHook>,
                                                boost::intrusive::key_of_value<OrderOf>,
                                                boost::intrusive::constant_time_size<false>>;
    using DeadlineSet =
        boost::intrusive::multiset<Waiting, boost::intrusive::base_hook<DeadlineHook>,
                                   boost::intrusive::key_of_value<DeadlineOf>,
                                   boost::intrusive::constant_time_size<false>>;

    OrderKey orderOf(const GateRequest &request);
    GateRequest extract(const Waiting &call);

    QueueOrder m_order;
    std::int64_t m_arrivals = 0;
    // Destroyed after `m_calls`, whose elements unlink themselves.
    OrderSet m_byOrder;
    DeadlineSet m_byDeadline;
    std::unordered_map<CallId, Waiting> m_calls;
};

} // namespace ivyspar
