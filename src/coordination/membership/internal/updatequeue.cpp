#include "coordination/membership/internal/updatequeue.h"

#include <algorithm>
#include <utility>

#include "coordination/membership/internal/membertable.h"

namespace ivyspar {

void UpdateQueue::push(MemberUpdate update)
{
    Waiting waiting;
    waiting.update = std::move(update);
    DaemonId id = waiting.update.id;
    m_waiting.insert_or_assign(std::move(id), std::move(waiting));
}

std::vector<MemberUpdate> UpdateQueue::take(std::size_t maxBytes, std::size_t maxSends)
{
    std::vector<Waiting *> order;
    order.reserve(m_waiting.size());
    for (auto &[id, waiting] : m_waiting) {
        order.push_back(&waiting);
    }
    std::sort(order.begin(), order.end(), [](const Waiting *a, const Waiting *b) {
        return a->sends != b->sends ? a->sends < b->sends : a->update.id < b->update.id;
    });

    std::vector<MemberUpdate> taken;
    std::size_t bytes = 0;
    for (Waiting *waiting : order) {
        bytes += estimateBytes(waiting->update);
        if (bytes > maxBytes && !taken.empty()) {
            break;
        }
        taken.push_back(waiting->update);
        ++waiting->sends;
    }
    for (const MemberUpdate &update : taken) {
        const auto found = m_waiting.find(update.id);
        if (found->second.sends >= maxSends) {
            m_waiting.erase(found);
        }
    }
    return taken;
}

} // namespace ivyspar
