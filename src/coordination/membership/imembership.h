#pragma once

#include <string>
#include <vector>

#include "state/ids.h"
#include "state/irandom.h"
#include "state/member.h"
#include "state/time.h"

namespace ivyspar {

enum class MemberHealth {
    Alive,
    Suspect, ///< Did not answer in time; still offered work until confirmed.
    Dead,
    Left, ///< Said goodbye.
};

struct MemberStatus
{
    Member member;
    MemberHealth health = MemberHealth::Alive;
};

/// A payload for another daemon's membership object.
struct MembershipDatagram
{
    DaemonId to;
    Endpoint endpoint;
    std::string payload;
};

struct MembershipActions
{
    std::vector<MembershipDatagram> send;
    /// The set of members that take work, or a record of one, changed.
    bool changed = false;
};

/// Who is there. Failure detection and spreading by gossip; times only the observer's own clock.
/// Plain object: the control thread carries the payloads.
class IMembership
{
public:
    virtual ~IMembership() = default;

    /// This daemon's own record changed (upstreams, draining, leaving).
    virtual MembershipActions updateSelf(TimePoint now, const Member &self) = 0;
    /// Endpoints from the settings or the log at which to look for members.
    virtual MembershipActions addSeed(TimePoint now, const Endpoint &endpoint) = 0;
    virtual MembershipActions receive(TimePoint now, const DaemonId &from,
                                      const std::string &payload) = 0;
    /// A link to the daemon could not be opened or was lost.
    virtual MembershipActions onUnreachable(TimePoint now, const DaemonId &daemon) = 0;
    virtual MembershipActions tick(TimePoint now, IRandom &random) = 0;
    /// Members that take work: alive or suspect, without those leaving.
    virtual std::vector<Member> working() const = 0;
    virtual std::vector<MemberStatus> all() const = 0;
};

} // namespace ivyspar
