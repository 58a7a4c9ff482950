#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>

#include <boost/intrusive/set.hpp>

#include "coordination/admission/gatefactory.h"
#include "coordination/admission/igate.h"
#include "coordination/admission/internal/kindshare.h"

namespace ivyspar {

/// Calls that wait for a slot, ordered by admission and by deadline. Operations take O(log n) and,
/// with `QueueOrder::Objective`, the number of kinds (rules) of calls that have the same priority.
class RankQueue
{
public:
    explicit RankQueue(QueueOrder order);

    bool isEmpty() const { return m_calls.empty(); }
    std::size_t size() const { return m_calls.size(); }
    /// Number of calls that can still meet their objective. Takes O(n).
    std::size_t onTimeCount() const { return m_byLatestStart.size(); }

    /// `expected`: the time that the call will take once it is started.
    void push(const GateRequest &request, Duration expected);
    /// Moves the calls that can no longer meet their objective behind those that can.
    void advance(TimePoint now);
    /// Removes the call to start next. The queue must not be empty.
    QueuedCall popFirst(TimePoint now);
    /// Removes the call to refuse when the queue is too long. The queue must not be empty.
    QueuedCall popLast(TimePoint now);
    /// As `popLast`, among the calls that may go to another server; nothing if there is none. Takes
    /// O(n).
    std::optional<QueuedCall> popLastThatMayGoElsewhere();
    /// Removes the call with the earliest deadline. The queue must not be empty.
    QueuedCall popEarliest(TimePoint now);
    /// The call that would be started last. The queue must not be empty.
    const GateRequest &last() const { return m_byOrder.begin()->call.request; }
    /// `TimePoint::max()` when the queue is empty.
    TimePoint earliestDeadline() const;
    /// Returns false if the call is not queued.
    bool remove(CallId id);

private:
    using Unlinking = boost::intrusive::link_mode<boost::intrusive::auto_unlink>;
    using OrderHook =
        boost::intrusive::set_base_hook<boost::intrusive::tag<struct ByOrder>, Unlinking>;
    using KindHook =
        boost::intrusive::set_base_hook<boost::intrusive::tag<struct ByKind>, Unlinking>;
    using DeadlineHook =
        boost::intrusive::set_base_hook<boost::intrusive::tag<struct ByDeadline>, Unlinking>;
    using LatestStartHook =
        boost::intrusive::set_base_hook<boost::intrusive::tag<struct ByLatestStart>, Unlinking>;

    /// Calls of a lower group never precede those of a higher one: a rank, or priority and whether
    /// work was already spent on the request.
    using Group = std::uint32_t;
    /// Place of a call within its group.
    enum class Tier : std::uint8_t { Late, NoObjective, OnTime };
    /// Group, tier, urgency, then order of arrival; the largest key is started first.
    using OrderKey = std::tuple<Group, Tier, std::int64_t, std::int64_t>;

    struct Kind;
    /// A queued call; unlinks itself from all sets on destruction.
    struct Waiting : OrderHook, KindHook, DeadlineHook, LatestStartHook
    {
        QueuedCall call;
        OrderKey order;
        /// Null without `QueueOrder::Objective`.
        Kind *kind = nullptr;
    };
    struct OrderOf
    {
        using type =
            OrderKey; // NOLINT(readability-identifier-naming): required by Boost.Intrusive.
        type operator()(const Waiting &waiting) const { return waiting.order; }
    };
    struct DeadlineOf
    {
        using type =
            TimePoint; // NOLINT(readability-identifier-naming): required by Boost.Intrusive.
        type operator()(const Waiting &waiting) const { return waiting.call.request.deadline; }
    };
    struct LatestStartOf
    {
        using type =
            TimePoint; // NOLINT(readability-identifier-naming): required by Boost.Intrusive.
        type operator()(const Waiting &waiting) const { return *waiting.call.latestStart; }
    };
    template <typename Hook, typename KeyOf>
    using SetOf = boost::intrusive::multiset<Waiting, boost::intrusive::base_hook<Hook>,
                                             boost::intrusive::key_of_value<KeyOf>,
                                             boost::intrusive::constant_time_size<false>>;

    /// The calls of one rule in one group.
    struct Kind
    {
        SetOf<KindHook, OrderOf> calls;
        /// Queued calls that have an objective.
        std::size_t objectives = 0;
        KindShare share;
    };
    using Kinds = std::map<std::pair<Group, RuleName>, Kind>;

    OrderKey orderOf(const GateRequest &request);
    OrderKey objectiveOrderOf(const GateRequest &request, std::int64_t arrival) const;
    static Group groupOf(const GateRequest &request);
    Kind &kindOf(Group group, const RuleName &rule);
    void removeIdleKinds();
    void moveToLate(Waiting &waiting);
    std::pair<Kinds::iterator, Kinds::iterator> kindsOf(Group group);
    /// Whether kinds are balanced: a group without objectives is ordered by rank alone.
    bool hasObjectives(Group group);
    /// Mean share that the kinds of a group got.
    double meanShare(TimePoint now, Group group);
    static bool isOwed(const Kind &kind, double meanShare);
    /// The kind of the group that is owed most, if one with queued calls is.
    Kind *findOwed(TimePoint now, Group group);
    /// The kind with queued calls of which the largest share was started; `first` if none has more.
    Kind &findBestServed(Group group, Kind &first);
    QueuedCall extract(const Waiting &waiting);

    QueueOrder m_order;
    std::int64_t m_arrivals = 0;
    /// Queued calls that may go to another server.
    std::size_t m_mayGoElsewhere = 0;
    // The sets are destroyed after `m_calls`, whose elements unlink themselves.
    SetOf<OrderHook, OrderOf> m_byOrder;
    SetOf<DeadlineHook, DeadlineOf> m_byDeadline;
    /// Calls that can still meet their objective.
    SetOf<LatestStartHook, LatestStartOf> m_byLatestStart;
    Kinds m_kinds;
    std::unordered_map<CallId, Waiting> m_calls;
};

} // namespace ivyspar
