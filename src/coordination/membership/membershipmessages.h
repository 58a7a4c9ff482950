#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "state/endpoint.h"
#include "state/ids.h"
#include "state/member.h"

namespace ivyspar {

enum class MemberHealth {
    Alive,
    Suspect, ///< Did not answer in time; still receives work until declared dead.
    Dead, ///< Did not refute the suspicion in time.
    Left, ///< Announced its departure.
};

/// State of one member as seen by the sender. Of two updates the one with the larger version
/// (incarnation, counter) is newer; of two with the same version, the one whose health comes later
/// in `MemberHealth`.
struct MemberUpdate
{
    DaemonId id;
    Incarnation incarnation;
    /// Grows with each change of the record and with each refutation of a suspicion.
    std::uint64_t counter = 0;
    MemberHealth health = MemberHealth::Alive;
    /// Value of `counter` when the record of the member last changed.
    std::uint64_t recordCounter = 0;
    /// Omitted if the receiver is expected to have it: suspicions, deaths and refutations are most
    /// of the traffic, and omitting the record cuts them to a quarter of the size.
    std::optional<Member> record;
};

/// Requests an `AckMessage`. Carries the state of the target as seen by the sender, so that the
/// target can refute it.
struct PingMessage
{
    std::uint64_t sequence = 0;
    DaemonId target;
    Incarnation targetIncarnation;
    std::uint64_t targetCounter = 0;
    MemberHealth targetHealth = MemberHealth::Alive;
};

struct AckMessage
{
    std::uint64_t sequence = 0;
    /// The member that acknowledged; differs from the sender if the ack is relayed.
    DaemonId target;
};

/// Requests an indirect ping: the receiver pings `target` and relays the ack.
struct PingRequestMessage
{
    std::uint64_t sequence = 0;
    DaemonId target;
    Endpoint targetEndpoint;
};

/// Carries only the updates of the enclosing message.
struct GossipMessage
{
};

/// Anti-entropy request for the records of the buckets that differ. A member belongs to the bucket
/// given by the hash of its id.
struct SyncRequestMessage
{
    /// Digest of each bucket of the sender.
    std::vector<std::uint64_t> buckets;
};

struct SyncReplyMessage
{
    /// Bit b is set if `records` holds all that the sender knows of bucket b.
    std::uint64_t covered = 0;
    std::vector<MemberUpdate> records;
};

using MembershipBody = std::variant<PingMessage, AckMessage, PingRequestMessage, GossipMessage,
                                    SyncRequestMessage, SyncReplyMessage>;

/// A message between the membership objects of two daemons.
struct MembershipMessage
{
    /// Endpoint on which the sender accepts links, so that a receiver that does not know the sender
    /// can answer.
    Endpoint sender;
    /// Hash over the versions of the members that are alive or suspect for the sender.
    std::uint64_t digest = 0;
    std::vector<MemberUpdate> updates;
    MembershipBody body;
};

} // namespace ivyspar
