#pragma once

#include <optional>
#include <vector>

#include "coordination/membership/membershipmessages.h"
#include "state/ids.h"
#include "state/irandom.h"
#include "state/member.h"
#include "state/time.h"

namespace ivyspar {

struct MemberStatus
{
    Member member;
    MemberHealth health = MemberHealth::Alive;
};

/// An endpoint at which a daemon may be found.
struct MembershipSeed
{
    Endpoint endpoint;
    /// Empty when not known.
    DomainName domain;
};

/// An outgoing message for the membership object of another daemon.
struct MembershipDatagram
{
    /// Empty when only the endpoint is known (a seed).
    DaemonId to;
    Endpoint endpoint;
    MembershipMessage message;
};

struct MembershipActions
{
    std::vector<MembershipDatagram> send;
    /// The set of available members, or a record of one, changed.
    bool changed = false;
    /// A record under this daemon's id has this larger incarnation. It is that of a previous run,
    /// started while the clock was ahead, or of a second daemon with the same id.
    std::optional<Incarnation> conflictingIncarnation;
};

/// Group membership with failure detection and gossip dissemination, after SWIM. Uses only the
/// observer's own clock. Does no I/O: the caller transports the messages. Not thread-safe.
/// docs/notes/membership.md has the reasons.
class IMembership
{
public:
    virtual ~IMembership() = default;

    /// Replaces this daemon's own record (upstreams, draining, leaving). The id, incarnation and
    /// counter of `self` are ignored.
    virtual MembershipActions updateSelf(TimePoint now, const Member &self) = 0;
    /// Announces an incarnation larger than `other`.
    virtual MembershipActions supersede(TimePoint now, Incarnation other) = 0;
    /// Announces the departure to some members, which gossip it to the others. The process may end
    /// once the messages are sent.
    virtual MembershipActions leave(TimePoint now) = 0;
    /// Adds an endpoint from the settings or the log to contact.
    virtual MembershipActions addSeed(TimePoint now, const MembershipSeed &seed) = 0;
    virtual MembershipActions receive(TimePoint now, const DaemonId &from,
                                      const MembershipMessage &message) = 0;
    /// A link to the daemon could not be opened or was lost; probes the daemon.
    virtual MembershipActions onUnreachable(TimePoint now, const DaemonId &daemon) = 0;
    /// Runs the timers. Must be called every `MembershipOptions::gossipInterval`.
    virtual MembershipActions tick(TimePoint now, IRandom &random) = 0;
    /// Members that accept work: alive or suspect, and not leaving. Includes this daemon.
    virtual std::vector<Member> availableMembers() const = 0;
    /// All known members, including this daemon and those that are dead or have left.
    virtual std::vector<MemberStatus> allMembers() const = 0;
};

} // namespace ivyspar
