#pragma once

#include <functional>

#include "protocol/messages.h"
#include "state/ids.h"

namespace ivyspar {

/// Result of one attempt, as its entry receives it.
struct AttemptAnswer
{
    ResponseMessage message;
    /// False when no daemon answered: the link failed or the peer is unknown.
    bool isFromDaemon = false;
};

/// Sends attempts to the daemons of the chosen upstreams.
class ICallSender
{
public:
    using OnAnswer = std::function<void(AttemptAnswer)>;

    virtual ~ICallSender() = default;

    /// Sends the attempt; `call.stream` is filled in. `onAnswer` runs exactly once, as a plain
    /// callback on the traffic thread, possibly before this function returns.
    virtual StreamId send(const DaemonId &target, CallMessage call, OnAnswer onAnswer) = 0;
    /// Requests the cancellation of the attempt. Its `onAnswer` still runs.
    virtual void cancel(StreamId stream) = 0;
};

} // namespace ivyspar
