#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "state/time.h"
#include "transport/ieventloop.h"

namespace ivyspar {

/// Tasks ordered by time; tasks with the same time keep their insertion order. An id is not reused
/// before 2^32 further timers.
class TimerQueue
{
public:
    using Task = std::function<void()>;

    TimerId add(TimePoint time, Task task);
    void cancel(TimerId id);
    /// Removes and returns the first task that is due; an empty function if there is none.
    Task takeDue(TimePoint now);
    /// The time of the first task, or TimePoint::max().
    TimePoint nextTime();

private:
    struct Slot
    {
        Task task;
        std::uint32_t generation = 1;
    };
    struct Entry
    {
        TimePoint time;
        std::uint64_t order;
        TimerId id;
    };

    static bool isLater(const Entry &a, const Entry &b);
    Slot *find(TimerId id);
    Task release(TimerId id);
    void dropCancelled();
    void compact();

    std::vector<Slot> m_slots;
    std::vector<std::uint32_t> m_freeSlots;
    /// Min-heap by time. Entries of cancelled tasks stay until they reach the front or outnumber
    /// the others.
    std::vector<Entry> m_heap;
    std::uint64_t m_order = 0;
};

} // namespace ivyspar
