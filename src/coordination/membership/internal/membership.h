#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/membership/internal/membertable.h"
#include "coordination/membership/internal/peerselector.h"
#include "coordination/membership/internal/seedlist.h"
#include "coordination/membership/internal/updatequeue.h"
#include "coordination/membership/membershipfactory.h"

namespace ivyspar {

class Membership : public IMembership
{
public:
    Membership(TimePoint now, const Member &self, const MembershipOptions &options);

    MembershipActions updateSelf(TimePoint now, const Member &self) override;
    MembershipActions supersede(TimePoint now, Incarnation other) override;
    MembershipActions leave(TimePoint now) override;
    MembershipActions addSeed(TimePoint now, const MembershipSeed &seed) override;
    MembershipActions receive(TimePoint now, const DaemonId &from,
                              const MembershipMessage &message) override;
    MembershipActions onUnreachable(TimePoint now, const DaemonId &daemon) override;
    MembershipActions tick(TimePoint now, IRandom &random) override;
    std::vector<Member> availableMembers() const override;
    std::vector<MemberStatus> allMembers() const override;

private:
    /// A ping of this daemon whose ack is pending.
    struct Probe
    {
        DaemonId target;
        TimePoint start;
        bool hasSentPingRequests = false;
    };
    /// An indirect ping sent on request of another member.
    struct Relay
    {
        DaemonId requester;
        std::uint64_t requesterSequence = 0;
        TimePoint start;
    };
    /// A member whose last message had a different digest.
    struct DivergentPeer
    {
        DaemonId id;
        Endpoint endpoint;
        std::uint64_t digest = 0;
        /// Start of the current divergence, which may have begun with another member.
        TimePoint since;
    };
    enum class Source { Gossip, Sync };

    void applyUpdate(TimePoint now, const MemberUpdate &update, Source source,
                     MembershipActions &actions);
    void applyToSelf(const MemberUpdate &update, MembershipActions &actions);
    bool isAcceptable(const MemberUpdate &update, const MemberEntry *known) const;
    void setHealth(TimePoint now, MemberEntry entry, MemberHealth health,
                   MembershipActions &actions);
    MembershipActions announceSelf(TimePoint now, MemberEntry entry);
    void refute(std::uint64_t counter);
    const MemberEntry &self() const { return *m_table.find(m_self); }

    void handle(TimePoint now, const DaemonId &from, const MembershipMessage &message,
                const PingMessage &ping, MembershipActions &actions);
    void handle(TimePoint now, const DaemonId &from, const MembershipMessage &message,
                const AckMessage &ack, MembershipActions &actions);
    void handle(TimePoint now, const DaemonId &from, const MembershipMessage &message,
                const PingRequestMessage &request, MembershipActions &actions);
    void handle(TimePoint now, const DaemonId &from, const MembershipMessage &message,
                const GossipMessage &gossip, MembershipActions &actions);
    void handle(TimePoint now, const DaemonId &from, const MembershipMessage &message,
                const SyncRequestMessage &request, MembershipActions &actions);
    void handle(TimePoint now, const DaemonId &from, const MembershipMessage &message,
                const SyncReplyMessage &reply, MembershipActions &actions);
    void compareDigest(TimePoint now, const DaemonId &from, const MembershipMessage &message);

    void handleFreeze(TimePoint now);
    void expireProbes(TimePoint now, MembershipActions &actions);
    void expireSuspects(TimePoint now, MembershipActions &actions);
    void probeAgain(TimePoint now, const DaemonId &id, MembershipActions &actions);
    bool isProbed(const DaemonId &id) const;
    void evictDead(TimePoint now);
    void pingNext(TimePoint now, IRandom &random, MembershipActions &actions);
    void verifyReportedDead(TimePoint now, MembershipActions &actions);
    void sendPendingUpdates(MembershipActions &actions);
    void synchronise(TimePoint now, IRandom &random, MembershipActions &actions);
    void recontact(TimePoint now, IRandom &random, MembershipActions &actions);
    Duration syncPause() const;
    void joinThroughSeeds(TimePoint now, IRandom &random, MembershipActions &actions);
    void contactSeed(TimePoint now, IRandom &random, MembershipActions &actions);

    void startProbe(TimePoint now, const DaemonId &target, MembershipActions &actions);
    void sendPing(const MemberEntry &target, std::uint64_t sequence, MembershipActions &actions);
    void sendPingRequests(const Probe &probe, std::uint64_t sequence, MembershipActions &actions);
    /// Takes updates from the queue into the message.
    MembershipMessage makeMessage(MembershipBody body);
    MembershipMessage makeEmptyMessage(MembershipBody body) const;
    void send(const DaemonId &to, const Endpoint &endpoint, MembershipMessage message,
              MembershipActions &actions) const;
    void sendGossip(std::size_t receivers, MembershipActions &actions);

    double remoteSyncChance() const;
    std::size_t refillSyncBudget(TimePoint now);

    double logMembers() const;
    std::size_t maxSends() const;
    Duration suspicionTimeout() const;

    const MembershipOptions m_options;
    const DaemonId m_self;
    MemberTable m_table;
    UpdateQueue m_queue;

    std::map<std::uint64_t, Probe> m_probes;
    std::map<std::uint64_t, Relay> m_relays;
    std::uint64_t m_lastSequence = 0;
    /// Members, with their counter, that another daemon reported dead and that are up here.
    std::deque<std::pair<DaemonId, std::uint64_t>> m_reportedDead;

    PeerSelector m_peerSelector;
    SeedList m_seeds;
    std::optional<DivergentPeer> m_divergentPeer;
    /// The digest was equal to that of another member at least once.
    bool m_hasConverged = false;

    std::optional<TimePoint> m_lastTick;
    const TimePoint m_start;
    TimePoint m_nextPing;
    TimePoint m_nextSync;
    TimePoint m_nextSeed;
    /// Interval between contacts of seeds; grows up to one period while joining.
    Duration m_seedInterval;
    TimePoint m_nextRecontact;
    TimePoint m_graceEnd;
    double m_syncBudgetBytes = 0;
    TimePoint m_syncBudgetTime;
    std::size_t m_syncCursor = 0;
    std::size_t m_finalProbeCursor = 0;
};

} // namespace ivyspar
