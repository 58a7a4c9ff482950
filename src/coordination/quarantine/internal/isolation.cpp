#include "coordination/quarantine/isolation.h"

#include <algorithm>

namespace ivyspar {

void Isolation::begin(CallId call)
{
    m_running = call;
}

void Isolation::wait(CallId call, const Fingerprint &fingerprint)
{
    m_waiting.push_back(Waiting{ call, fingerprint });
}

bool Isolation::leave(CallId call)
{
    if (m_running == call) {
        m_running.reset();
        return true;
    }
    const auto found =
        std::find_if(m_waiting.begin(), m_waiting.end(),
                     [call](const Waiting &waiting) { return waiting.call == call; });
    if (found == m_waiting.end()) {
        return false;
    }
    m_waiting.erase(found);
    return true;
}

std::optional<CallId> Isolation::takeNext()
{
    if (m_running || m_waiting.empty()) {
        return std::nullopt;
    }
    const CallId next = m_waiting.front().call;
    m_waiting.pop_front();
    return next;
}

std::vector<CallId> Isolation::take(const Fingerprint &fingerprint)
{
    std::vector<CallId> taken;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (it->fingerprint == fingerprint) {
            taken.push_back(it->call);
            it = m_waiting.erase(it);
        } else {
            ++it;
        }
    }
    return taken;
}

} // namespace ivyspar
