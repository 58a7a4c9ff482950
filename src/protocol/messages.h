#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "state/http.h"
#include "state/ids.h"
#include "state/load.h"
#include "state/member.h"
#include "state/outcome.h"
#include "state/time.h"
#include "state/usage.h"

namespace ivyspar {

/// Version of the frames between daemons. A daemon ignores fields that it does not know.
constexpr std::uint32_t PEER_PROTOCOL_VERSION = 1;

/// First frame on a link, from both sides.
struct HelloMessage
{
    std::uint32_t protocol = PEER_PROTOCOL_VERSION;
    DaemonId daemon;
    Incarnation incarnation;
    DomainName domain;
};

/// How a call may run at most once.
struct OnceTerms
{
    IdempotencyKey key;
    /// For how long the key is remembered.
    Duration keyLifetime{ 0 };
    /// Ticket that the caller presented; empty if none. See docs/STATE.md.
    std::string ticket;
};

/// One attempt of a call, from the entry daemon to the daemon of the upstream's host.
struct CallMessage
{
    StreamId stream;
    RootId root;
    ServiceName service;
    RuleName rule;
    Rank rank;
    Depth depth;
    /// Time left until the caller's deadline when this frame was sent.
    Duration remaining{ 0 };
    /// Share of requests like the caller's that its entry admits. 0 in a repeated attempt: its
    /// first one has been counted.
    DemandShare admittedShare;
    /// It repeats an attempt, or a repeat makes it: both draw on the bound on repeats.
    bool isRepeat = false;
    /// Attempts handed over for the calls below this one.
    AttemptCount granted;
    /// Present when the rule says at most once and the caller gave a key or a ticket.
    std::optional<OnceTerms> once;
    HttpRequest request;
    /// Of the request; empty if it has not been worked out.
    Fingerprint fingerprint;
    /// The caller's account; empty if it has none or it is not known.
    AccountName account;
};

/// End of one attempt. Exactly one for each `CallMessage`, unless the link is lost.
struct AnswerMessage
{
    StreamId stream;
    Verdict verdict;
    /// Meaningful when the verdict is `Answered`.
    HttpResponse response;
    /// Of the attempts granted, those that were not spent.
    AttemptCount unspent;
    /// Time that the upstream took; zero when it was not asked.
    Duration serviceTime{ 0 };
    LoadReport load;
    /// What the call and those below it cost, and how their services are.
    TreeUsage usage;
    /// The daemon that holds the key's result, for reason `KeyBusy`; empty if none.
    DaemonId holder;
};

/// The caller gave up. Answered by the call's `AnswerMessage` like any other end.
struct CancelMessage
{
    StreamId stream;
};

/// Asks for a load report of a service's gate, answered by `LoadMessage`.
struct ProbeMessage
{
    StreamId stream;
    ServiceName service;
};

struct LoadMessage
{
    StreamId stream;
    ServiceName service;
    LoadReport load;
};

/// Opaque payload for the control thread: membership and configuration exchange.
struct ControlMessage
{
    /// The sender's peer endpoint, so that the receiver can answer on a link of its own.
    DaemonId from;
    std::string payload;
};

using PeerMessage = std::variant<HelloMessage, CallMessage, AnswerMessage, CancelMessage,
                                 ProbeMessage, LoadMessage, ControlMessage>;

} // namespace ivyspar
