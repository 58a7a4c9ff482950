#include "transport/internal/carriedrequests.h"

#include <algorithm>
#include <functional>

namespace ivyspar {

namespace {

constexpr std::size_t MAX_VALUES = 4096;
constexpr std::size_t MIN_SIZE_TO_CLEAN = 32;
/// A repeat that was sent in time may be read after its deadline.
constexpr Duration LATE_REPEAT_TIME = std::chrono::seconds(1);

std::size_t hashOf(const std::string &echo)
{
    return std::hash<std::string>()(echo);
}

} // namespace

void CarriedRequests::add(TimePoint now, const std::string &echo, TimePoint end)
{
    ++m_count;
    if (echo.empty()) {
        return;
    }
    removeEnded(now);
    TimePoint &kept = m_ends[hashOf(echo)];
    kept = std::max(kept, end + LATE_REPEAT_TIME);
}

bool CarriedRequests::contains(const std::string &echo) const
{
    return !echo.empty() && m_ends.count(hashOf(echo)) > 0;
}

bool CarriedRequests::isFull() const
{
    return m_ends.size() >= MAX_VALUES;
}

/// Runs each time that the number of values has doubled, so that a call costs constant time on
/// average.
void CarriedRequests::removeEnded(TimePoint now)
{
    if (m_ends.size() < std::max(m_sizeToClean, MIN_SIZE_TO_CLEAN)) {
        return;
    }
    for (auto it = m_ends.begin(); it != m_ends.end();) {
        it = it->second <= now ? m_ends.erase(it) : std::next(it);
    }
    m_sizeToClean = 2 * m_ends.size();
}

} // namespace ivyspar
