// The part of Membership that composes and handles messages.
#include <algorithm>
#include <unordered_map>
#include <utility>

#include "coordination/membership/internal/membership.h"

namespace ivyspar {

namespace {

constexpr std::size_t MAX_REPORTED_DEAD = 512;
constexpr std::size_t MAX_RELAYS = 256;
/// Records sent on request even if the sync budget is exhausted: enough for the requester to find
/// other members to ask.
constexpr std::size_t MIN_SYNC_BYTES = 2048;

} // namespace

MembershipActions Membership::receive(TimePoint now, const DaemonId &from,
                                      const MembershipMessage &message)
{
    MembershipActions actions;
    if (from == m_self || self().health == MemberHealth::Left) {
        return actions;
    }
    m_seeds.markContacted(message.sender);
    for (const MemberUpdate &update : message.updates) {
        applyUpdate(now, update, Source::Gossip, actions);
    }
    std::visit([&](const auto &body) { handle(now, from, message, body, actions); }, message.body);
    compareDigest(now, from, message);
    return actions;
}

void Membership::applyUpdate(TimePoint now, const MemberUpdate &update, Source source,
                             MembershipActions &actions)
{
    if (update.id == m_self) {
        applyToSelf(update, actions);
        return;
    }
    const MemberEntry *known = m_table.find(update.id);
    if (update.health == MemberHealth::Dead && known && isUp(known->health)) {
        // Only this daemon's own suspicion timeout declares a member dead; see
        // verifyReportedDead().
        const bool isSameRun = known->member.incarnation == update.incarnation;
        const auto report = std::make_pair(update.id, update.counter);
        const bool isNew =
            std::find(m_reportedDead.begin(), m_reportedDead.end(), report) == m_reportedDead.end();
        if (isSameRun && update.counter >= known->counter && isNew
            && m_reportedDead.size() < MAX_REPORTED_DEAD) {
            m_reportedDead.push_back(report);
        }
        return;
    }
    if (!isAcceptable(update, known)) {
        return;
    }
    MemberEntry entry = known ? *known : MemberEntry();
    const bool wasUp = known && isUp(known->health);
    const bool isRecordNew = update.record
        && (!known || known->member.incarnation != update.incarnation
            || known->member.counter != update.recordCounter);
    if (update.record) {
        entry.member = *update.record;
    }
    entry.member.id = update.id;
    entry.member.incarnation = update.incarnation;
    entry.member.counter = update.recordCounter;
    entry.counter = update.counter;
    entry.isSuspectedByOwnProbe = false;
    if (!known || entry.health != update.health) {
        entry.since = now;
    }
    entry.health = update.health;
    m_table.put(entry);
    actions.changed = actions.changed || isRecordNew || wasUp != isUp(entry.health);
    if (source == Source::Gossip && update.health != MemberHealth::Dead) {
        m_queue.push(update);
    }
    if (wasUp != isUp(entry.health) || isRecordNew) {
        m_peerSelector.markStale();
    }
    if (!wasUp && isUp(entry.health)) {
        m_peerSelector.join(update.id);
    }
}

bool Membership::isAcceptable(const MemberUpdate &update, const MemberEntry *known) const
{
    if (update.id.value().empty()) {
        return false;
    }
    if (known && !isNewer(update, *known)) {
        return false;
    }
    if (!known && m_table.entries().size() >= m_options.maxMembers + m_options.maxDead) {
        return false;
    }
    if (!isUp(update.health)) {
        return true;
    }
    if (update.record) {
        return update.record->peerEndpoint.port != 0;
    }
    // Without the record the version must not be accepted: the digests would agree, and the missing
    // record would go unnoticed. An anti-entropy exchange delivers it.
    return known && known->member.incarnation == update.incarnation
        && known->member.counter == update.recordCounter && known->member.peerEndpoint.port != 0;
}

void Membership::applyToSelf(const MemberUpdate &update, MembershipActions &actions)
{
    const MemberEntry &own = self();
    if (update.incarnation > own.member.incarnation) {
        actions.conflictingIncarnation = update.incarnation;
        return;
    }
    if (update.incarnation < own.member.incarnation) {
        return;
    }
    const bool isReportedDown =
        update.health != MemberHealth::Alive && update.counter >= own.counter;
    if (isReportedDown || update.counter > own.counter) {
        refute(update.counter);
    }
}

/// Publishes a version of this daemon's own state that supersedes all up to `counter`.
void Membership::refute(std::uint64_t counter)
{
    MemberEntry entry = self();
    entry.counter = std::max(entry.counter, counter) + 1;
    m_table.put(entry);
    m_queue.push(makeUpdate(entry, false));
}

void Membership::setHealth(TimePoint now, MemberEntry entry, MemberHealth health,
                           MembershipActions &actions)
{
    const bool wasUp = isUp(entry.health);
    entry.health = health;
    entry.since = now;
    entry.isSuspectedByOwnProbe = false;
    if (health == MemberHealth::Suspect) {
        m_queue.push(makeUpdate(entry, false));
    }
    m_table.put(std::move(entry));
    if (wasUp != isUp(health)) {
        actions.changed = true;
        m_peerSelector.markStale();
    }
}

void Membership::handle(TimePoint /*now*/, const DaemonId &from, const MembershipMessage &message,
                        const PingMessage &ping, MembershipActions &actions)
{
    if (ping.target != m_self) {
        // The endpoint now belongs to this daemon. The sender gets its record instead of an ack,
        // and the probe of the former owner times out.
        MembershipMessage reply = makeMessage(GossipMessage());
        reply.updates.push_back(makeUpdate(self(), true));
        send(from, message.sender, std::move(reply), actions);
        return;
    }
    const bool isThisRun = ping.targetIncarnation == self().member.incarnation;
    if (isThisRun && ping.targetHealth != MemberHealth::Alive
        && ping.targetCounter >= self().counter) {
        refute(ping.targetCounter);
    }
    MembershipMessage reply = makeMessage(AckMessage{ ping.sequence, m_self });
    if (!isThisRun || ping.targetCounter != self().counter) {
        reply.updates.push_back(makeUpdate(self(), true));
    }
    const MemberEntry *sender = m_table.find(from);
    if (sender && sender->health != MemberHealth::Alive) {
        reply.updates.push_back(makeUpdate(*sender, false));
    }
    send(from, message.sender, std::move(reply), actions);
}

void Membership::handle(TimePoint /*now*/, const DaemonId & /*from*/,
                        const MembershipMessage & /*message*/, const AckMessage &ack,
                        MembershipActions &actions)
{
    const auto probe = m_probes.find(ack.sequence);
    if (probe != m_probes.end() && probe->second.target == ack.target) {
        m_probes.erase(probe);
        return;
    }
    const auto relay = m_relays.find(ack.sequence);
    if (relay == m_relays.end()) {
        return;
    }
    const MemberEntry *requester = m_table.find(relay->second.requester);
    const MemberEntry *target = m_table.find(ack.target);
    if (requester && target) {
        MembershipMessage reply =
            makeMessage(AckMessage{ relay->second.requesterSequence, ack.target });
        reply.updates.push_back(makeUpdate(*target, true));
        send(requester->member.id, requester->member.peerEndpoint, std::move(reply), actions);
    }
    m_relays.erase(relay);
}

void Membership::handle(TimePoint now, const DaemonId &from, const MembershipMessage & /*message*/,
                        const PingRequestMessage &request, MembershipActions &actions)
{
    if (m_relays.size() >= MAX_RELAYS) {
        return;
    }
    const MemberEntry *known = m_table.find(request.target);
    MemberEntry target = known ? *known : MemberEntry();
    target.member.id = request.target;
    target.member.peerEndpoint = request.targetEndpoint;
    m_relays[++m_lastSequence] = Relay{ from, request.sequence, now };
    sendPing(target, m_lastSequence, actions);
}

void Membership::handle(TimePoint /*now*/, const DaemonId &from, const MembershipMessage &message,
                        const GossipMessage & /*gossip*/, MembershipActions &actions)
{
    // Tells a sender that is dead here, so that it can refute. A suspect learns of the suspicion by
    // gossip.
    const MemberEntry *sender = m_table.find(from);
    if (!sender || sender->health != MemberHealth::Dead) {
        return;
    }
    MembershipMessage reply = makeMessage(GossipMessage());
    reply.updates.push_back(makeUpdate(*sender, false));
    send(from, message.sender, std::move(reply), actions);
}

void Membership::handle(TimePoint now, const DaemonId &from, const MembershipMessage &message,
                        const SyncRequestMessage &request, MembershipActions &actions)
{
    const auto &own = m_table.buckets();
    if (request.buckets.size() != own.size()) {
        return;
    }
    std::array<std::vector<const MemberEntry *>, MemberTable::BUCKET_COUNT> differing;
    for (const auto &[id, entry] : m_table.entries()) {
        const std::size_t bucket = MemberTable::bucketOf(id);
        if (request.buckets[bucket] != own[bucket]) {
            differing[bucket].push_back(&entry);
        }
    }
    SyncReplyMessage reply;
    const std::size_t allowed = refillSyncBudget(now);
    std::size_t bytes = 0;
    ++m_syncCursor;
    for (std::size_t i = 0; i < own.size() && bytes < allowed; ++i) {
        const std::size_t bucket = (m_syncCursor + i) % own.size();
        if (request.buckets[bucket] == own[bucket]) {
            continue;
        }
        for (const MemberEntry *entry : differing[bucket]) {
            reply.records.push_back(makeUpdate(*entry, isUp(entry->health)));
            bytes += estimateBytes(reply.records.back());
        }
        reply.covered |= std::uint64_t(1) << bucket;
    }
    m_syncBudgetBytes -= static_cast<double>(bytes);
    send(from, message.sender, makeMessage(std::move(reply)), actions);
}

void Membership::handle(TimePoint now, const DaemonId &from, const MembershipMessage &message,
                        const SyncReplyMessage &reply, MembershipActions &actions)
{
    std::unordered_map<DaemonId, const MemberUpdate *> theirs;
    for (const MemberUpdate &update : reply.records) {
        applyUpdate(now, update, Source::Sync, actions);
        theirs[update.id] = &update;
    }
    if (reply.covered == 0) {
        return;
    }
    // Second direction of the exchange: sends what is newer here. Its `covered` of 0 ends the
    // exchange.
    SyncReplyMessage back;
    const std::size_t allowed = refillSyncBudget(now);
    std::size_t bytes = 0;
    for (const auto &[id, entry] : m_table.entries()) {
        const bool isCovered = (reply.covered >> MemberTable::bucketOf(id)) & 1U;
        const auto found = theirs.find(id);
        const bool isNewerHere = found == theirs.end() || isNewer(makeUpdate(entry, false), [&] {
                                     MemberEntry other;
                                     other.member.incarnation = found->second->incarnation;
                                     other.counter = found->second->counter;
                                     other.health = found->second->health;
                                     return other;
                                 }());
        if (!isCovered || !isNewerHere || bytes >= allowed) {
            continue;
        }
        back.records.push_back(makeUpdate(entry, isUp(entry.health)));
        bytes += estimateBytes(back.records.back());
    }
    m_syncBudgetBytes -= static_cast<double>(bytes);
    if (!back.records.empty()) {
        send(from, message.sender, makeMessage(std::move(back)), actions);
    }
}

void Membership::compareDigest(TimePoint now, const DaemonId &from,
                               const MembershipMessage &message)
{
    if (message.digest == m_table.digest()) {
        m_hasConverged = true;
        // Agreement with one member does not imply agreement with the others: a small group with
        // equal digests would otherwise never exchange with the rest.
        if (m_divergentPeer && m_divergentPeer->id == from) {
            m_divergentPeer.reset();
        }
        return;
    }
    // An exchange within the local failure domain has priority.
    if (m_divergentPeer && m_peerSelector.isLocal(m_divergentPeer->id)
        && !m_peerSelector.isLocal(from)) {
        return;
    }
    const TimePoint since = m_divergentPeer ? m_divergentPeer->since : now;
    m_divergentPeer = DivergentPeer{ from, message.sender, message.digest, since };
}

void Membership::startProbe(TimePoint now, const DaemonId &target, MembershipActions &actions)
{
    m_probes[++m_lastSequence] = Probe{ target, now, false };
    sendPing(*m_table.find(target), m_lastSequence, actions);
}

void Membership::sendPing(const MemberEntry &target, std::uint64_t sequence,
                          MembershipActions &actions)
{
    PingMessage ping;
    ping.sequence = sequence;
    ping.target = target.member.id;
    ping.targetIncarnation = target.member.incarnation;
    ping.targetCounter = target.counter;
    ping.targetHealth = target.health;
    if (target.health != MemberHealth::Alive) {
        // Most of these pings get no answer; updates in them would be lost but counted as sent.
        send(target.member.id, target.member.peerEndpoint, makeEmptyMessage(std::move(ping)),
             actions);
        return;
    }
    send(target.member.id, target.member.peerEndpoint, makeMessage(std::move(ping)), actions);
}

void Membership::sendPingRequests(const Probe &probe, std::uint64_t sequence,
                                  MembershipActions &actions)
{
    const MemberEntry *target = m_table.find(probe.target);
    if (!target) {
        return;
    }
    const PingRequestMessage request{ sequence, probe.target, target->member.peerEndpoint };
    for (const MemberEntry *helper : m_peerSelector.next(m_options.indirectProbes, probe.target)) {
        send(helper->member.id, helper->member.peerEndpoint, makeMessage(request), actions);
    }
}

void Membership::sendGossip(std::size_t receivers, MembershipActions &actions)
{
    for (const MemberEntry *receiver : m_peerSelector.next(receivers, m_self)) {
        send(receiver->member.id, receiver->member.peerEndpoint, makeMessage(GossipMessage()),
             actions);
    }
}

MembershipMessage Membership::makeMessage(MembershipBody body)
{
    MembershipMessage message = makeEmptyMessage(std::move(body));
    message.updates = m_queue.take(m_options.updateBytes, maxSends());
    return message;
}

MembershipMessage Membership::makeEmptyMessage(MembershipBody body) const
{
    MembershipMessage message;
    message.sender = self().member.peerEndpoint;
    message.digest = m_table.digest();
    message.body = std::move(body);
    return message;
}

void Membership::send(const DaemonId &to, const Endpoint &endpoint, MembershipMessage message,
                      MembershipActions &actions) const
{
    actions.send.push_back({ to, endpoint, std::move(message) });
}

std::size_t Membership::refillSyncBudget(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_syncBudgetTime).count();
    const double refill = seconds * static_cast<double>(m_options.syncBytesPerSecond);
    m_syncBudgetBytes =
        std::min(m_syncBudgetBytes + refill, static_cast<double>(m_options.syncBurstBytes));
    m_syncBudgetTime = now;
    const double left = std::max(m_syncBudgetBytes, static_cast<double>(MIN_SYNC_BYTES));
    return static_cast<std::size_t>(left);
}

} // namespace ivyspar
