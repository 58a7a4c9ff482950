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
    Suspect, ///< Did not answer in time; still offered work until confirmed.
    Dead,
    Left, ///< Said goodbye.
};

/// What one daemon says of another. Of two updates the one with the larger (incarnation, counter)
/// is newer; of two with the same version the one with the larger health.
struct MemberUpdate
{
    DaemonId id;
    Incarnation incarnation;
    /// Grows with each change of the record and with each refutation of a suspicion.
    std::uint64_t counter = 0;
    MemberHealth health = MemberHealth::Alive;
    /// The counter at which the record itself last changed.
    std::uint64_t recordCounter = 0;
    /// Missing where the receiver is expected to have it: suspicions, deaths and refutations are
    /// most of the traffic, and a quarter of the size without it.
    std::optional<Member> record;
};

/// Asks for an `AckMessage`. Carries what the sender believes of the target, so that the target can
/// refute it.
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
    /// The member that answered; differs from the sender when the answer is relayed.
    DaemonId target;
};

/// Asks the receiver to ping `target` and to relay its answer.
struct PingRequestMessage
{
    std::uint64_t sequence = 0;
    DaemonId target;
    Endpoint targetEndpoint;
};

/// Only carries updates.
struct GossipMessage
{
};

/// Asks for the records of the buckets that differ. Both sides put a member into the bucket that
/// the hash of its id names.
struct SyncRequestMessage
{
    std::vector<std::uint64_t> buckets;
};

struct SyncReplyMessage
{
    /// Bit b is set when the updates hold everything that the sender knows of bucket b.
    std::uint64_t covered = 0;
    std::vector<MemberUpdate> records;
};

using MembershipBody = std::variant<PingMessage, AckMessage, PingRequestMessage, GossipMessage,
                                    SyncRequestMessage, SyncReplyMessage>;

/// A message between the membership objects of two daemons.
struct MembershipMessage
{
    /// Where the sender takes links, so that the receiver can answer before it knows the sender.
    Endpoint sender;
    /// Hash over the versions of the members that the sender takes for alive or suspect.
    std::uint64_t digest = 0;
    std::vector<MemberUpdate> updates;
    MembershipBody body;
};

} // namespace ivyspar
