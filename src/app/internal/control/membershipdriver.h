#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/settings.h"
#include "coordination/membership/imembership.h"
#include "protocol/messages.h"
#include "state/configuration.h"
#include "state/irandom.h"
#include "state/member.h"
#include "transport/ieventloop.h"

namespace ivyspar {

/// Events of membership. Called on the control thread.
struct ControlEvents
{
    /// The available members, at the start and whenever they change.
    std::function<void(std::vector<Member>)> onMembers;
    /// Sends a membership payload to a daemon at an endpoint.
    std::function<void(DaemonId, Endpoint, std::string)> send;
    /// Long after the start, a record under this daemon's id was newer than its own and has been
    /// superseded: another daemon may run under the same id.
    std::function<void()> onDuplicate;
};

/// Runs membership on the control thread: drives the gossip and maintains this daemon's own record.
class MembershipDriver
{
public:
    MembershipDriver(IEventLoop &loop, IRandom &random, Member self, ControlEvents events);
    ~MembershipDriver();

    void start(const std::vector<Endpoint> &seeds);
    void addSeed(const MembershipSeed &seed);
    void setUpstreams(std::vector<UpstreamInfo> upstreams);
    /// Announces that this daemon accepts no more calls.
    void startLeaving();
    /// Announces that this daemon ends; the process may exit once the messages have been sent.
    void leave();
    /// Returns false if the payload is not a membership message.
    bool receive(const DaemonId &from, const std::string &payload);
    void onUnreachable(const DaemonId &daemon);
    std::vector<MemberStatus> allMembers() const { return m_membership->allMembers(); }
    const std::vector<Member> &availableMembers() const { return m_availableMembers; }
    const Member &self() const { return m_self; }

private:
    void tick();
    void onConflictingIncarnation(Incarnation conflicting);
    void perform(const MembershipActions &actions);

    IEventLoop &m_loop;
    IRandom &m_random;
    Member m_self;
    ControlEvents m_events;
    TimePoint m_startedAt;
    std::optional<TimePoint> m_supersededAt;
    std::unique_ptr<IMembership> m_membership;
    std::vector<Member> m_availableMembers;
    TimerId m_timer;
};

} // namespace ivyspar
