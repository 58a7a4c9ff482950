#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "state/httpbody.h"

namespace ivyspar {

enum class MessageKind {
    Request,
    Response,
};

/// Counts the bytes of one message.
class BodyCharge : public MemoryCharge
{
public:
    /// Sets the number of bytes that the message occupies. Returns false if there is no room for
    /// them, or if the message had to yield before: it is to be dropped then.
    virtual bool resize(std::size_t bytes) = 0;
    /// The message has arrived whole and no longer yields to others.
    virtual void complete() = 0;
};
using BodyChargePtr = boost::intrusive_ptr<BodyCharge>;

/// Bytes that messages of one kind occupy, and how many of them had to be dropped.
struct BodyUsage
{
    std::size_t bytes = 0;
    std::size_t limit = 0;
    std::uint64_t dropped = 0;
};

/// Bounds the memory that all requests and responses in a daemon occupy together, from the first
/// byte that arrives until the last copy is released. Requests and responses have separate limits,
/// so that neither can take the room of the other. Plain object; one thread only.
class IBodyBudget : public boost::intrusive_ref_counter<IBodyBudget, boost::thread_unsafe_counter>
{
public:
    /// Called when the message is to be dropped to make room for smaller ones.
    using OnYield = std::function<void()>;

    IBodyBudget() = default;
    virtual ~IBodyBudget() = default;
    IBodyBudget(const IBodyBudget &) = delete;
    IBodyBudget &operator=(const IBodyBudget &) = delete;

    /// Counts a message that begins to arrive. If the limit is reached, the largest message with an
    /// `onYield` that is still arriving is dropped, and its bytes are released at once.
    virtual BodyChargePtr open(MessageKind kind, OnYield onYield) = 0;
    /// Counts a message that has arrived whole, also beyond the limit.
    virtual BodyChargePtr adopt(MessageKind kind, std::size_t bytes) = 0;
    virtual BodyUsage usage(MessageKind kind) const = 0;
};
using BodyBudgetPtr = boost::intrusive_ptr<IBodyBudget>;

/// `bytes`: the limit for requests and responses together.
BodyBudgetPtr makeBodyBudget(std::size_t bytes);

} // namespace ivyspar
