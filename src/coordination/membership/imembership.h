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

/// Where to look for a daemon.
struct MembershipSeed
{
    Endpoint endpoint;
    /// Empty when not known.
    DomainName domain;
};

/// A message for another daemon's membership object.
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
    /// The set of members that take work, or a record of one, changed.
    bool changed = false;
    /// Another process runs under this daemon's id with this larger incarnation. Within the first
    /// seconds after the start it is this host's previous run under a clock that was ahead: start
    /// anew with a larger incarnation. Later it is a second daemon with the same id: stop.
    std::optional<Incarnation> conflictingIncarnation;
};

/// Who is there. Failure detection and spreading by gossip; times only the observer's own clock.
/// Plain object: the control thread carries the messages. docs/notes/membership.md has the reasons.
class IMembership
{
public:
    virtual ~IMembership() = default;

    /// This daemon's own record changed (upstreams, draining, leaving). The counter is kept here;
    /// that of `self` is ignored.
    virtual MembershipActions updateSelf(TimePoint now, const Member &self) = 0;
    /// Says goodbye to some members, who tell the others. The process may end once it is sent.
    virtual MembershipActions leave(TimePoint now) = 0;
    /// From the settings or the log.
    virtual MembershipActions addSeed(TimePoint now, const MembershipSeed &seed) = 0;
    virtual MembershipActions receive(TimePoint now, const DaemonId &from,
                                      const MembershipMessage &message) = 0;
    /// A link to the daemon could not be opened or was lost.
    virtual MembershipActions onUnreachable(TimePoint now, const DaemonId &daemon) = 0;
    /// To be called every `MembershipOptions::gossipInterval`.
    virtual MembershipActions tick(TimePoint now, IRandom &random) = 0;
    /// Members that take work: alive or suspect, without those leaving. Includes this daemon.
    virtual std::vector<Member> availableMembers() const = 0;
    virtual std::vector<MemberStatus> allMembers() const = 0;
};

} // namespace ivyspar
