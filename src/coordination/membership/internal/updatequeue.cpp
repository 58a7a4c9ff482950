#include "coordination/membership/internal/updatequeue.h"

#include <algorithm>
#include <utility>

#include "coordination/membership/internal/membertable.h"

namespace ivyspar {

void UpdateQueue::push(MemberUpdate update)
{
    PendingUpdate pending;
    pending.update = std::move(update);
    DaemonId id = pending.update.id;
    m_pending.insert_or_assign(std::move(id), std::move(pending));
}

std::vector<MemberUpdate> UpdateQueue::take(std::size_t maxBytes, std::size_t maxSends)
{
    std::vector<PendingUpdate *> order;
    order.reserve(m_pending.size());
    for (auto &[id, pending] : m_pending) {
        order.push_back(&pending);
    }
    std::sort(order.begin(), order.end(), [](const PendingUpdate *a, const PendingUpdate *b) {
        return a->sends != b->sends ? a->sends < b->sends : a->update.id < b->update.id;
    });

    std::vector<MemberUpdate> taken;
    std::size_t bytes = 0;
    for (PendingUpdate *pending : order) {
        bytes += estimateBytes(pending->update);
        if (bytes > maxBytes && !taken.empty()) {
            break;
        }
        taken.push_back(pending->update);
        ++pending->sends;
    }
    for (const MemberUpdate &update : taken) {
        const auto found = m_pending.find(update.id);
        if (found->second.sends >= maxSends) {
            m_pending.erase(found);
        }
    }
    return taken;
}

} // namespace ivyspar
