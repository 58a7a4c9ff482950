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
#include "state/upstreamnotice.h"
#include "state/usage.h"

namespace ivyspar {

/// Version of the frames between daemons. Unknown trailing fields are ignored.
constexpr std::uint32_t PEER_PROTOCOL_VERSION = 1;

/// First frame in each direction of a link.
struct HelloMessage
{
    std::uint32_t protocol = PEER_PROTOCOL_VERSION;
    DaemonId daemon;
    Incarnation incarnation;
    DomainName domain;
};

/// Terms of a call that must run at most once.
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
    /// Share of such requests that the entry daemon admits. 0 for a repeated attempt, as the first
    /// one has been counted.
    DemandShare admittedShare;
    /// The attempt is a repeat, or is made by one; both count against the limit on repeats.
    bool isRepeat = false;
    /// Attempts granted to the calls below this one.
    AttemptCount granted;
    /// Set if the rule's repetition is `Once` and the caller sent a key or a ticket.
    std::optional<OnceTerms> once;
    HttpRequest request;
    /// Fingerprint of the request; empty if it was not computed.
    Fingerprint fingerprint;
    /// The caller's client account; empty if it has none or it is not known.
    AccountName account;
    /// What the entry daemon has learned of the server from its earlier responses. The daemon of
    /// the server's host may have been restarted since and not know it.
    std::optional<UpstreamNotice> notice;
    /// Time left, when this frame was sent, until the response is needed for the root request to
    /// meet its latency objective; zero if that has passed, nothing if the root's rule sets none or
    /// the sender does not know it.
    std::optional<Duration> objectiveLeft = {};
};

/// End of one attempt. Each `CallMessage` gets exactly one, unless the link is lost.
struct ResponseMessage
{
    StreamId stream;
    Verdict verdict;
    /// Valid only if the verdict's outcome is `Answered`.
    HttpResponse response;
    /// Granted attempts that were not used.
    AttemptCount unspent;
    /// Time that the upstream took; zero if the call was not sent to it.
    Duration serviceTime{ 0 };
    LoadReport load;
    /// Service time that the call and the calls below it used, with the load of those services.
    TreeUsage usage;
    /// For reason `KeyBusy`: the daemon that holds the result of the key; empty if none.
    DaemonId holder;
    /// What the server states about itself; without a run if there is nothing to heed. Nothing if
    /// the daemon has not learned it yet.
    std::optional<UpstreamNotice> notice;
};

/// The caller no longer waits. The call still ends with its `ResponseMessage`.
struct CancelMessage
{
    StreamId stream;
};

/// Requests the load of a service's gate; answered by a `LoadMessage`.
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

/// Opaque payload for the control thread, such as membership, configuration, account and suspect
/// messages.
struct ControlMessage
{
    /// The sending daemon, so that the receiver can reply on a link of its own.
    DaemonId from;
    std::string payload;
};

using PeerMessage = std::variant<HelloMessage, CallMessage, ResponseMessage, CancelMessage,
                                 ProbeMessage, LoadMessage, ControlMessage>;

} // namespace ivyspar
