#include "coordination/membership/internal/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ivyspar {

namespace {

constexpr std::size_t MIN_SENDS = 4;
constexpr double MIN_SUSPICION_PERIODS = 3;
/// Members reported dead that are pinged per tick. After a partition there may be hundreds.
constexpr std::size_t VERIFICATIONS_PER_TICK = 2;
/// Periods before the suspicion timeout in which every observer probes the suspect again.
constexpr int FINAL_PROBE_PERIODS = 3;
constexpr std::size_t LEAVE_RECEIVERS = 8;
/// On average every sixth attempt to reach a dead member also contacts a seed.
constexpr std::uint64_t RECONTACTS_PER_SEED_CONTACT = 6;
/// Mean number of daemons of a large failure domain that exchange records with a remote domain at a
/// time.
constexpr double REMOTE_SYNCS = 4;
/// Up to this number of other local members, every daemon exchanges records with remote domains. In
/// a larger domain a few do so for all.
constexpr std::size_t SMALL_DOMAIN = 8;
/// A daemon that found no other member within this time contacts seeds of any failure domain.
constexpr Duration ISOLATION_TIMEOUT{ std::chrono::milliseconds(600) };
/// Seeds that a joining daemon contacts at a time.
constexpr std::size_t JOIN_SEEDS = 3;
/// In this time after the start a daemon requests an exchange as soon as digests differ.
constexpr Duration STARTUP_TIME{ std::chrono::seconds(5) };
/// In this time after the start a daemon contacts uncontacted seeds even if it knows other members.
constexpr Duration JOIN_TIME{ std::chrono::seconds(30) };
/// Final probes of suspects per tick. When a failure domain is lost there are hundreds of suspects.
constexpr std::size_t FINAL_PROBES_PER_TICK = 8;

} // namespace

std::unique_ptr<IMembership> makeMembership(TimePoint now, const Member &self,
                                            const MembershipOptions &options)
{
    return std::make_unique<Membership>(now, self, options);
}

Membership::Membership(TimePoint now, const Member &self, const MembershipOptions &options)
    : m_options(options)
    , m_self(self.id)
    , m_peerSelector(m_table, self.id, self.domain)
    , m_seeds(self.domain, options.maxSeeds)
    , m_start(now)
    , m_nextPing(now)
    , m_nextSync(now)
    , m_nextSeed(now)
    , m_seedInterval(options.gossipInterval)
    , m_nextRecontact(now + options.recontactInterval)
    , m_graceEnd(now)
    , m_syncBudgetBytes(static_cast<double>(options.syncBurstBytes))
    , m_syncBudgetTime(now)
{
    MemberEntry entry;
    entry.member = self;
    entry.member.counter = 1;
    entry.counter = 1;
    entry.since = now;
    m_table.put(entry);
    m_queue.push(makeUpdate(entry, true));
}

MembershipActions Membership::updateSelf(TimePoint now, const Member &self)
{
    MemberEntry entry = this->self();
    const Incarnation incarnation = entry.member.incarnation;
    entry.member = self;
    entry.member.id = m_self;
    entry.member.incarnation = incarnation;
    return announceSelf(now, std::move(entry));
}

MembershipActions Membership::supersede(TimePoint now, Incarnation other)
{
    MemberEntry entry = self();
    entry.member.incarnation = Incarnation(other.value() + 1);
    return announceSelf(now, std::move(entry));
}

/// Puts a new record of this daemon into the table and sends it to some members.
MembershipActions Membership::announceSelf(TimePoint now, MemberEntry entry)
{
    MembershipActions actions;
    ++entry.counter;
    entry.member.counter = entry.counter;
    entry.since = now;
    m_table.put(entry);
    m_queue.push(makeUpdate(entry, true));
    actions.changed = true;
    sendGossip(m_options.gossipFanout, actions);
    return actions;
}

MembershipActions Membership::leave(TimePoint now)
{
    MembershipActions actions;
    MemberEntry entry = self();
    ++entry.counter;
    entry.health = MemberHealth::Left;
    entry.since = now;
    m_table.put(entry);
    actions.changed = true;
    // Bypasses the queue, whose bound on sends may be smaller than the number of receivers.
    for (const MemberEntry *receiver : m_peerSelector.next(LEAVE_RECEIVERS, m_self)) {
        MembershipMessage message = makeMessage(GossipMessage());
        message.updates.push_back(makeUpdate(entry, false));
        send(receiver->member.id, receiver->member.peerEndpoint, std::move(message), actions);
    }
    return actions;
}

MembershipActions Membership::addSeed(TimePoint /*now*/, const MembershipSeed &seed)
{
    if (seed.endpoint != self().member.peerEndpoint) {
        m_seeds.add(seed);
    }
    return {};
}

MembershipActions Membership::onUnreachable(TimePoint now, const DaemonId &daemon)
{
    MembershipActions actions;
    const MemberEntry *entry = m_table.find(daemon);
    if (daemon == m_self || !entry || entry->health != MemberHealth::Alive || isProbed(daemon)) {
        return actions;
    }
    startProbe(now, daemon, actions);
    return actions;
}

MembershipActions Membership::tick(TimePoint now, IRandom &random)
{
    MembershipActions actions;
    if (self().health == MemberHealth::Left) {
        return actions;
    }
    if (!m_lastTick) {
        m_peerSelector.setSalt(random.next());
        // Random phase: daemons that start together would otherwise ping in step permanently.
        m_nextPing = now + Duration(random.below(m_options.period.count()));
    }
    handleFreeze(now);
    expireProbes(now, actions);
    expireSuspects(now, actions);
    evictDead(now);
    pingNext(now, random, actions);
    verifyReportedDead(now, actions);
    sendPendingUpdates(actions);
    synchronise(now, random, actions);
    recontact(now, random, actions);
    return actions;
}

std::vector<Member> Membership::availableMembers() const
{
    std::vector<Member> members;
    for (const auto &[id, entry] : m_table.entries()) {
        if (isUp(entry.health) && !entry.member.leaving) {
            members.push_back(entry.member);
        }
    }
    return members;
}

std::vector<MemberStatus> Membership::allMembers() const
{
    std::vector<MemberStatus> members;
    for (const auto &[id, entry] : m_table.entries()) {
        members.push_back({ entry.member, entry.health });
    }
    return members;
}

/// After a freeze, acks and refutations wait unread in the sockets while all timers have expired.
/// Acting on the timers would declare all members dead at once. Therefore probes are dropped, the
/// suspicion timeouts start anew, and no member is suspected until the backlog could be read.
void Membership::handleFreeze(TimePoint now)
{
    const bool wasFrozen = m_lastTick && now - *m_lastTick > m_options.freezeThreshold;
    m_lastTick = now;
    if (!wasFrozen) {
        return;
    }
    m_probes.clear();
    m_relays.clear();
    m_graceEnd = now + m_options.postFreezeGrace;
    m_nextPing = now;
    std::vector<MemberEntry> suspects;
    for (const DaemonId &id : m_table.notAlive()) {
        const MemberEntry &entry = *m_table.find(id);
        if (entry.health == MemberHealth::Suspect) {
            suspects.push_back(entry);
        }
    }
    for (MemberEntry &entry : suspects) {
        entry.since = now;
        m_table.put(std::move(entry));
    }
}

void Membership::expireProbes(TimePoint now, MembershipActions &actions)
{
    std::vector<DaemonId> failed;
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        Probe &probe = it->second;
        const Duration age = now - probe.start;
        if (age >= m_options.ackTimeout && !probe.hasSentPingRequests) {
            probe.hasSentPingRequests = true;
            sendPingRequests(probe, it->first, actions);
        }
        if (age < m_options.period) {
            ++it;
            continue;
        }
        failed.push_back(probe.target);
        it = m_probes.erase(it);
    }
    for (auto it = m_relays.begin(); it != m_relays.end();) {
        it = now - it->second.start >= 2 * m_options.period ? m_relays.erase(it) : std::next(it);
    }
    if (now < m_graceEnd) {
        return;
    }
    for (const DaemonId &id : failed) {
        const MemberEntry *entry = m_table.find(id);
        if (!entry || !isUp(entry->health)) {
            continue;
        }
        if (entry->health == MemberHealth::Alive) {
            setHealth(now, *entry, MemberHealth::Suspect, actions);
        }
        MemberEntry own = *m_table.find(id);
        own.isSuspectedByOwnProbe = true;
        m_table.put(own);
    }
}

void Membership::expireSuspects(TimePoint now, MembershipActions &actions)
{
    if (now < m_graceEnd) {
        return;
    }
    const Duration timeout = suspicionTimeout();
    std::vector<MemberEntry> expired;
    std::vector<DaemonId> toProbe;
    for (const DaemonId &id : m_table.notAlive()) {
        const MemberEntry &entry = *m_table.find(id);
        if (entry.health != MemberHealth::Suspect) {
            continue;
        }
        const Duration age = now - entry.since;
        if (age >= timeout) {
            expired.push_back(entry);
        } else if (entry.isSuspectedByOwnProbe
                   || age >= timeout - FINAL_PROBE_PERIODS * m_options.period) {
            toProbe.push_back(id);
        }
    }
    for (const MemberEntry &entry : expired) {
        setHealth(now, entry, MemberHealth::Dead, actions);
    }
    // A single lost message must not decide: the observer that raised the suspicion continues to
    // probe, and every other one, which may have missed the refutation, does so before its timeout.
    const std::size_t count = std::min(toProbe.size(), FINAL_PROBES_PER_TICK);
    for (std::size_t i = 0; i < count; ++i) {
        probeAgain(now, toProbe[(m_finalProbeCursor + i) % toProbe.size()], actions);
    }
    m_finalProbeCursor += count;
}

void Membership::probeAgain(TimePoint now, const DaemonId &id, MembershipActions &actions)
{
    const bool isWaiting = std::any_of(m_probes.begin(), m_probes.end(), [&](const auto &probe) {
        return probe.second.target == id && now - probe.second.start < m_options.ackTimeout;
    });
    if (isWaiting) {
        return;
    }
    startProbe(now, id, actions);
    // Indirect pings were already requested when the suspicion was raised.
    m_probes[m_lastSequence].hasSentPingRequests = true;
}

bool Membership::isProbed(const DaemonId &id) const
{
    return std::any_of(m_probes.begin(), m_probes.end(),
                       [&id](const auto &probe) { return probe.second.target == id; });
}

void Membership::evictDead(TimePoint now)
{
    std::vector<std::pair<TimePoint, DaemonId>> inactive;
    for (const DaemonId &id : m_table.notAlive()) {
        const MemberEntry &entry = *m_table.find(id);
        if (!isUp(entry.health) && id != m_self) {
            inactive.emplace_back(entry.since, id);
        }
    }
    if (inactive.empty()) {
        return;
    }
    std::sort(inactive.begin(), inactive.end());
    const std::size_t surplus =
        inactive.size() > m_options.maxDead ? inactive.size() - m_options.maxDead : 0;
    for (std::size_t i = 0; i < inactive.size(); ++i) {
        if (i < surplus || now - inactive[i].first >= m_options.deadRetention) {
            m_table.erase(inactive[i].second);
        }
    }
}

void Membership::pingNext(TimePoint now, IRandom &random, MembershipActions &actions)
{
    if (now < m_nextPing) {
        return;
    }
    m_nextPing += m_options.period;
    if (m_nextPing <= now) {
        m_nextPing = now + m_options.period;
    }
    if (const MemberEntry *next = m_peerSelector.nextToPing(random)) {
        startProbe(now, next->member.id, actions);
    }
}

/// Pings members that another daemon reported dead, as happens after a partition, and that are up
/// here. Accepting the report would remove whole failure domains when a partition heals; the ping
/// lets the member refute.
void Membership::verifyReportedDead(TimePoint now, MembershipActions &actions)
{
    for (std::size_t i = 0; i < VERIFICATIONS_PER_TICK && !m_reportedDead.empty(); ++i) {
        const auto [id, counter] = m_reportedDead.front();
        m_reportedDead.pop_front();
        const MemberEntry *entry = m_table.find(id);
        if (!entry || entry->health != MemberHealth::Alive || entry->counter > counter) {
            continue;
        }
        // Carries the version that was reported dead. With a newer version, the member would issue
        // another refutation for each daemon that pings it.
        MemberEntry reported = *entry;
        reported.counter = counter;
        reported.health = MemberHealth::Dead;
        m_probes[++m_lastSequence] = Probe{ id, now, false };
        sendPing(reported, m_lastSequence, actions);
    }
}

void Membership::sendPendingUpdates(MembershipActions &actions)
{
    if (!m_queue.isEmpty()) {
        sendGossip(m_options.gossipFanout, actions);
    }
}

void Membership::synchronise(TimePoint now, IRandom &random, MembershipActions &actions)
{
    if (!m_divergentPeer || now < m_nextSync) {
        return;
    }
    if (m_divergentPeer->digest == m_table.digest()) {
        m_divergentPeer.reset();
        return;
    }
    // Digests differ for a few seconds while a change propagates, so only a lasting difference
    // starts an exchange. A daemon that has just started does not wait, even if its digest agrees
    // with that of another: if all have just started, both may know only a part of the members.
    const bool isStartingUp = now < m_start + STARTUP_TIME;
    const bool isSettled = now - m_divergentPeer->since >= 2 * m_options.syncInterval;
    if (m_hasConverged && !isStartingUp && !isSettled) {
        return;
    }
    m_nextSync = now + (isStartingUp ? m_seedInterval : syncPause());
    // If two failure domains diverge, all their members do. A few of them exchange records and
    // propagate the result within their own domain.
    if (!m_peerSelector.isLocal(m_divergentPeer->id) && random.unit() >= remoteSyncChance()) {
        return;
    }
    const auto &buckets = m_table.buckets();
    SyncRequestMessage request{ { buckets.begin(), buckets.end() } };
    send(m_divergentPeer->id, m_divergentPeer->endpoint, makeEmptyMessage(std::move(request)),
         actions);
    m_divergentPeer.reset();
}

Duration Membership::syncPause() const
{
    return m_hasConverged ? m_options.syncInterval : m_options.period;
}

/// The sides of a partition consider each other dead, and dead members are not in the ping round.
/// Pinging a random dead member from time to time merges the sides again. Seeds serve the same
/// purpose once the dead members have been evicted.
void Membership::recontact(TimePoint now, IRandom &random, MembershipActions &actions)
{
    if (now >= m_nextSeed) {
        joinThroughSeeds(now, random, actions);
    }
    if (now < m_nextRecontact) {
        return;
    }
    const auto jitter = static_cast<std::uint64_t>(m_options.recontactInterval.count());
    m_nextRecontact = now + m_options.recontactInterval / 2 + Duration(random.below(jitter));
    if (random.below(RECONTACTS_PER_SEED_CONTACT) == 0) {
        contactSeed(now, random, actions);
    }
    std::vector<const MemberEntry *> dead;
    for (const DaemonId &id : m_table.notAlive()) {
        const MemberEntry &entry = *m_table.find(id);
        if (entry.health == MemberHealth::Dead && entry.member.peerEndpoint.port != 0) {
            dead.push_back(&entry);
        }
    }
    if (!dead.empty()) {
        const MemberEntry &entry = *dead[random.below(dead.size())];
        sendPing(entry, ++m_lastSequence, actions);
    }
}

/// After a power failure all daemons join at once, and requests find no server until they have
/// found each other. Therefore several seeds are contacted at a time, at intervals that start short
/// and grow.
void Membership::joinThroughSeeds(TimePoint now, IRandom &random, MembershipActions &actions)
{
    m_nextSeed = now + m_seedInterval;
    // A daemon that others found first still contacts its seeds: they may not know each other.
    const bool isJoining = now < m_start + JOIN_TIME && m_seeds.hasUncontacted();
    if (!isJoining && m_table.upCount() > 1) {
        return;
    }
    if (!m_seeds.isEmpty()) {
        m_seedInterval = std::min(2 * m_seedInterval, m_options.period);
    }
    for (std::size_t i = 0; i < JOIN_SEEDS; ++i) {
        contactSeed(now, random, actions);
    }
}

/// Prefers seeds of the local failure domain and contacts remote ones only occasionally: when all
/// daemons start at once, each answer is a whole table.
void Membership::contactSeed(TimePoint now, IRandom &random, MembershipActions &actions)
{
    const bool isIsolated = m_table.upCount() <= 1 && now >= m_start + ISOLATION_TIMEOUT;
    const bool isRemoteAllowed = isIsolated || random.unit() < remoteSyncChance();
    const auto seed = m_seeds.choose(m_table, isRemoteAllowed, random);
    if (!seed) {
        return;
    }
    const auto &buckets = m_table.buckets();
    MembershipMessage message =
        makeEmptyMessage(SyncRequestMessage{ { buckets.begin(), buckets.end() } });
    message.updates.push_back(makeUpdate(self(), true));
    send(DaemonId(), *seed, std::move(message), actions);
}

/// Probability with which this daemon makes a possible exchange with a remote failure domain.
double Membership::remoteSyncChance() const
{
    const std::size_t local = std::max(m_peerSelector.localCount(), m_seeds.localCount());
    return local <= SMALL_DOMAIN ? 1 : REMOTE_SYNCS / static_cast<double>(local);
}

double Membership::logMembers() const
{
    return std::log2(static_cast<double>(m_table.upCount() + 1));
}

std::size_t Membership::maxSends() const
{
    const auto sends =
        static_cast<std::size_t>(std::ceil(m_options.retransmitFactor * logMembers()));
    return std::max(MIN_SENDS, sends);
}

Duration Membership::suspicionTimeout() const
{
    const double periods =
        std::max(MIN_SUSPICION_PERIODS, m_options.suspicionFactor * logMembers());
    return Duration(
        static_cast<Duration::rep>(periods * static_cast<double>(m_options.period.count())));
}

} // namespace ivyspar
