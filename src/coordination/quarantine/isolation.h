#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "state/ids.h"

namespace ivyspar {

/// Lets one suspect at a time run at a server. When the server ends, the suspect that ran there is
/// the one that matters; two at once would both be held responsible. Plain object.
class Isolation
{
public:
    /// Calls that may wait.
    static constexpr std::size_t MAX_WAITING_CALLS = 64;

    bool isFree() const { return !m_running; }
    bool hasRoom() const { return m_waiting.size() < MAX_WAITING_CALLS; }
    /// The call runs, and no other suspect until it has left. Only while free.
    void begin(CallId call);
    /// The call waits for its turn. Only while there is room.
    void wait(CallId call, const Fingerprint &fingerprint);
    /// The call runs or waits no more. True if it was here.
    bool leave(CallId call);
    /// Takes the call whose turn it is, while free; nothing if none waits.
    std::optional<CallId> takeNext();
    /// Takes all that wait with this fingerprint.
    std::vector<CallId> take(const Fingerprint &fingerprint);

private:
    struct Waiting
    {
        CallId call;
        Fingerprint fingerprint;
    };

    std::optional<CallId> m_running;
    std::deque<Waiting> m_waiting;
};

} // namespace ivyspar
