#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/membership/internal/membertable.h"
#include "coordination/membership/internal/updatequeue.h"
#include "coordination/membership/membershipfactory.h"

namespace ivyspar {

class Membership : public IMembership
{
public:
    Membership(TimePoint now, const Member &self, const MembershipOptions &options);

    MembershipActions updateSelf(TimePoint now, const Member &self) override;
    MembershipActions leave(TimePoint now) override;
    MembershipActions addSeed(TimePoint now, const MembershipSeed &seed) override;
    MembershipActions receive(TimePoint now, const DaemonId &from,
                              const MembershipMessage &message) override;
    MembershipActions onUnreachable(TimePoint now, const DaemonId &daemon) override;
    MembershipActions tick(TimePoint now, IRandom &random) override;
    std::vector<Member> working() const override;
    std::vector<MemberStatus> all() const override;

private:
    /// A ping of ours that waits for its ack.
    struct Probe
    {
        DaemonId target;
        TimePoint start;
        bool hasAskedOthers = false;
    };
    /// A ping sent for another member.
    struct Relay
    {
        DaemonId requester;
        std::uint64_t requesterSequence = 0;
        TimePoint start;
    };
    /// A member whose digest differed from ours when it last spoke.
    struct Differing
    {
        DaemonId id;
        Endpoint endpoint;
        std::uint64_t digest = 0;
        TimePoint since;
    };
    enum class Source { Gossip, Sync };

    void applyUpdate(TimePoint now, const MemberUpdate &update, Source source,
                     MembershipActions &actions);
    void applyToSelf(const MemberUpdate &update, MembershipActions &actions);
    bool isAcceptable(const MemberUpdate &update, const MemberEntry *known) const;
    void setHealth(TimePoint now, MemberEntry entry, MemberHealth health,
                   MembershipActions &actions);
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

    void noteGap(TimePoint now);
    void expireProbes(TimePoint now, MembershipActions &actions);
    void expireSuspects(TimePoint now, MembershipActions &actions);
    void probeAgain(TimePoint now, const DaemonId &id, MembershipActions &actions);
    bool isProbed(const DaemonId &id) const;
    void forgetDead(TimePoint now);
    void pingNext(TimePoint now, IRandom &random, MembershipActions &actions);
    void verifyDoubted(TimePoint now, MembershipActions &actions);
    void spread(MembershipActions &actions);
    void synchronise(TimePoint now, IRandom &random, MembershipActions &actions);
    void recontact(TimePoint now, IRandom &random, MembershipActions &actions);
    Duration syncPause() const;
    void seekOthers(TimePoint now, IRandom &random, MembershipActions &actions);
    void contactSeed(TimePoint now, IRandom &random, MembershipActions &actions);
    std::vector<MembershipSeed> seedsToAsk() const;

    void startProbe(TimePoint now, const DaemonId &target, MembershipActions &actions);
    void sendPing(const MemberEntry &target, std::uint64_t sequence, MembershipActions &actions);
    void askOthers(const Probe &probe, std::uint64_t sequence, MembershipActions &actions);
    /// With updates that are to be spread.
    MembershipMessage makeMessage(MembershipBody body);
    MembershipMessage makeEmptyMessage(MembershipBody body) const;
    void send(const DaemonId &to, const Endpoint &endpoint, MembershipMessage message,
              MembershipActions &actions) const;
    void sendGossip(std::size_t receivers, MembershipActions &actions);

    bool isNear(const DomainName &domain) const { return domain == self().member.domain; }
    bool isNear(const DaemonId &id) const;
    std::size_t nearCount() const;
    double farShare() const;
    double farExchangeChance() const;
    void rebuildRings();
    const MemberEntry *nextToPing(IRandom &random);
    void startPingRound(IRandom &random);
    void shuffle(std::vector<DaemonId> &ids, IRandom &random) const;
    void joinPingRing(const DaemonId &id);
    /// Next member to send to: see farShare().
    const MemberEntry *nextReceiver();
    /// Takes the other failure domains in turn.
    const MemberEntry *nextFarReceiver();
    const MemberEntry *nextReceiverIn(const DomainName &domain);
    std::vector<const MemberEntry *> nextReceivers(std::size_t count, const DaemonId &except);
    std::size_t takeSyncBytes(TimePoint now);

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
    /// Members that another daemon holds for dead at a version, and this one does not.
    std::deque<std::pair<DaemonId, std::uint64_t>> m_doubted;

    std::vector<DaemonId> m_pingRing;
    std::size_t m_pingAt = 0;
    /// Those that are up, by failure domain.
    std::map<DomainName, std::vector<DaemonId>> m_receivers;
    std::map<DomainName, std::size_t> m_receiverAt;
    DomainName m_lastDomain;
    /// Messages to other failure domains that are due, and parts of one.
    double m_farDue = 0;
    /// The same for pings.
    double m_farPingDue = 0;
    bool m_areRingsStale = true;

    std::map<Endpoint, DomainName> m_seeds;
    /// Those of the own failure domain.
    std::size_t m_nearSeeds = 0;
    /// Those that have not spoken yet.
    std::set<Endpoint> m_silentSeeds;
    std::optional<Differing> m_differing;
    /// The digest has agreed with another member's at least once.
    bool m_hasAgreed = false;

    std::optional<TimePoint> m_lastTick;
    const TimePoint m_start;
    TimePoint m_nextPing;
    TimePoint m_nextSync;
    TimePoint m_nextSeed;
    /// Until the next seed is asked; grows while others are sought.
    Duration m_seedPause;
    TimePoint m_nextRecontact;
    TimePoint m_relistenUntil;
    double m_syncBytes = 0;
    TimePoint m_syncBytesAt;
    std::size_t m_syncCursor = 0;
    std::size_t m_lastCall = 0;
    std::uint64_t m_salt = 0;
};

} // namespace ivyspar
