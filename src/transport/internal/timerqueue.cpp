#include "transport/internal/timerqueue.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

namespace {

constexpr std::size_t COMPACT_THRESHOLD = 64;
constexpr unsigned GENERATION_SHIFT = 32;

} // namespace

bool TimerQueue::isLater(const Entry &a, const Entry &b)
{
    return a.time != b.time ? a.time > b.time : a.order > b.order;
}

TimerId TimerQueue::add(TimePoint time, Task task)
{
    if (m_freeSlots.empty()) {
        m_freeSlots.push_back(static_cast<std::uint32_t>(m_slots.size()));
        m_slots.emplace_back();
    }
    const std::uint32_t index = m_freeSlots.back();
    m_freeSlots.pop_back();
    Slot &slot = m_slots[index];
    slot.task = std::move(task);
    const TimerId id((std::uint64_t(slot.generation) << GENERATION_SHIFT) | index);
    m_heap.push_back({ time, m_order++, id });
    std::push_heap(m_heap.begin(), m_heap.end(), isLater);
    return id;
}

TimerQueue::Slot *TimerQueue::find(TimerId id)
{
    const auto index = static_cast<std::uint32_t>(id.value());
    const auto generation = static_cast<std::uint32_t>(id.value() >> GENERATION_SHIFT);
    if (index >= m_slots.size() || m_slots[index].generation != generation) {
        return nullptr;
    }
    return &m_slots[index];
}

TimerQueue::Task TimerQueue::release(TimerId id)
{
    Slot *slot = find(id);
    if (slot == nullptr) {
        return {};
    }
    Task task = std::exchange(slot->task, {});
    ++slot->generation;
    m_freeSlots.push_back(static_cast<std::uint32_t>(id.value()));
    return task;
}

void TimerQueue::cancel(TimerId id)
{
    release(id);
    const std::size_t live = m_slots.size() - m_freeSlots.size();
    if (m_heap.size() > 2 * live + COMPACT_THRESHOLD) {
        compact();
    }
}

TimerQueue::Task TimerQueue::takeDue(TimePoint now)
{
    if (nextTime() > now || m_heap.empty()) {
        return {};
    }
    const TimerId id = m_heap.front().id;
    std::pop_heap(m_heap.begin(), m_heap.end(), isLater);
    m_heap.pop_back();
    return release(id);
}

TimePoint TimerQueue::nextTime()
{
    dropCancelled();
    return m_heap.empty() ? TimePoint::max() : m_heap.front().time;
}

void TimerQueue::dropCancelled()
{
    while (!m_heap.empty() && find(m_heap.front().id) == nullptr) {
        std::pop_heap(m_heap.begin(), m_heap.end(), isLater);
        m_heap.pop_back();
    }
}

void TimerQueue::compact()
{
    const auto isCancelled = [this](const Entry &entry) { return find(entry.id) == nullptr; };
    m_heap.erase(std::remove_if(m_heap.begin(), m_heap.end(), isCancelled), m_heap.end());
    std::make_heap(m_heap.begin(), m_heap.end(), isLater);
}

} // namespace ivyspar
