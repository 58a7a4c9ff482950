#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "state/ids.h"

namespace ivyspar {

/// Runs suspects at a server one at a time. If the server crashes, the running suspect is the
/// likely cause; with two at once, both would be blamed. Plain object.
class Isolation
{
public:
    /// Bound on the calls in the queue.
    static constexpr std::size_t MAX_WAITING_CALLS = 64;

    bool isFree() const { return !m_running; }
    bool hasRoom() const { return m_waiting.size() < MAX_WAITING_CALLS; }
    /// Marks the call as running; no other suspect runs until it leaves. Only while `isFree`.
    void begin(CallId call);
    /// Queues the call. Only while `hasRoom`.
    void wait(CallId call, const Fingerprint &fingerprint);
    /// Removes a running or queued call. False if it is neither.
    bool leave(CallId call);
    /// Dequeues the oldest call. Unset while another one runs or if the queue is empty.
    std::optional<CallId> takeNext();
    /// Dequeues all calls with this fingerprint.
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
