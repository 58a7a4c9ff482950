#include "coordination/membership/internal/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ivyspar {

namespace {

constexpr std::size_t MIN_SENDS = 4;
constexpr double MIN_SUSPICION_PERIODS = 3;
/// Doubts checked per tick: after a partition there may be hundreds, and each costs a ping.
constexpr std::size_t DOUBTS_PER_TICK = 2;
constexpr int LAST_CALL_PERIODS = 3;
constexpr std::size_t GOODBYE_RECEIVERS = 8;
constexpr std::uint64_t RECONTACTS_PER_SEED = 6;
/// Messages to each other failure domain while each member of the own one gets one message. What
/// crosses between two failure domains then does not grow with the square of their members.
constexpr double FAR_PER_DOMAIN = 1;
/// Daemons of a failure domain that exchange whole records with another one at a time.
constexpr double FAR_EXCHANGES = 4;
/// Others in a failure domain up to which each of them exchanges with other domains: as much is
/// said in a large one by a few.
constexpr std::size_t SMALL_DOMAIN = 8;
/// A daemon that found nobody for so long asks any seed, near or far.
constexpr Duration LONELY_TIME{ std::chrono::milliseconds(600) };
/// Seeds that a joining daemon asks at a time.
constexpr std::size_t JOIN_SEEDS = 3;
/// A daemon that runs for less than this exchanges at each difference.
constexpr Duration YOUNG_TIME{ std::chrono::seconds(5) };
constexpr Duration JOIN_TIME{ std::chrono::seconds(30) };
/// Last questions to suspects per tick: when a failure domain is lost there are hundreds.
constexpr std::size_t LAST_CALLS_PER_TICK = 8;

} // namespace

std::unique_ptr<IMembership> makeMembership(TimePoint now, const Member &self,
                                            const MembershipOptions &options)
{
    return std::make_unique<Membership>(now, self, options);
}

Membership::Membership(TimePoint now, const Member &self, const MembershipOptions &options)
    : m_options(options)
    , m_self(self.id)
    , m_start(now)
    , m_nextPing(now)
    , m_nextSync(now)
    , m_nextSeed(now)
    , m_seedPause(options.gossipInterval)
    , m_nextRecontact(now + options.recontactInterval)
    , m_relistenUntil(now)
    , m_syncBytes(static_cast<double>(options.syncBurstBytes))
    , m_syncBytesAt(now)
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
    MembershipActions actions;
    MemberEntry entry = this->self();
    const std::uint64_t counter = entry.counter + 1;
    const Incarnation incarnation = entry.member.incarnation;
    entry.member = self;
    entry.member.id = m_self;
    entry.member.incarnation = incarnation;
    entry.member.counter = counter;
    entry.counter = counter;
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
    // Not by the queue: its bound on sends may be smaller than the number of those to be told.
    for (const MemberEntry *receiver : nextReceivers(GOODBYE_RECEIVERS, m_self)) {
        MembershipMessage message = makeMessage(GossipMessage());
        message.updates.push_back(makeUpdate(entry, false));
        send(receiver->member.id, receiver->member.peerEndpoint, std::move(message), actions);
    }
    return actions;
}

MembershipActions Membership::addSeed(TimePoint /*now*/, const MembershipSeed &seed)
{
    const bool isFull = m_seeds.size() >= m_options.maxSeeds;
    if (isFull || seed.endpoint == self().member.peerEndpoint) {
        return {};
    }
    if (m_seeds.emplace(seed.endpoint, seed.domain).second) {
        m_silentSeeds.insert(seed.endpoint);
        m_nearSeeds += isNear(seed.domain) ? 1 : 0;
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
        m_salt = random.next();
        // Daemons that start together would otherwise ping in step for ever.
        m_nextPing = now + Duration(random.below(m_options.period.count()));
    }
    noteGap(now);
    expireProbes(now, actions);
    expireSuspects(now, actions);
    forgetDead(now);
    if (m_areRingsStale) {
        rebuildRings();
    }
    pingNext(now, random, actions);
    verifyDoubted(now, actions);
    spread(actions);
    synchronise(now, random, actions);
    recontact(now, random, actions);
    return actions;
}

std::vector<Member> Membership::working() const
{
    std::vector<Member> members;
    for (const auto &[id, entry] : m_table.entries()) {
        if (isUp(entry.health) && !entry.member.leaving) {
            members.push_back(entry.member);
        }
    }
    return members;
}

std::vector<MemberStatus> Membership::all() const
{
    std::vector<MemberStatus> members;
    for (const auto &[id, entry] : m_table.entries()) {
        members.push_back({ entry.member, entry.health });
    }
    return members;
}

/// After a freeze the acks of running probes and the refutations of suspects wait unread in the
/// sockets, and all timers have run out. Acting on them would declare everyone dead at once. So
/// probes are dropped, suspects get their whole time again, and nobody is suspected before what
/// arrived meanwhile could be read.
void Membership::noteGap(TimePoint now)
{
    const bool wasFrozen = m_lastTick && now - *m_lastTick > m_options.freezeGap;
    m_lastTick = now;
    if (!wasFrozen) {
        return;
    }
    m_probes.clear();
    m_relays.clear();
    m_relistenUntil = now + m_options.relisten;
    m_nextPing = now;
    std::vector<MemberEntry> suspects;
    for (const DaemonId &id : m_table.doubtful()) {
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
        if (age >= m_options.ackTimeout && !probe.hasAskedOthers) {
            probe.hasAskedOthers = true;
            askOthers(probe, it->first, actions);
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
    if (now < m_relistenUntil) {
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
        own.isOwnSuspicion = true;
        m_table.put(own);
    }
}

void Membership::expireSuspects(TimePoint now, MembershipActions &actions)
{
    if (now < m_relistenUntil) {
        return;
    }
    const Duration timeout = suspicionTimeout();
    std::vector<MemberEntry> expired;
    std::vector<DaemonId> asked;
    for (const DaemonId &id : m_table.doubtful()) {
        const MemberEntry &entry = *m_table.find(id);
        if (entry.health != MemberHealth::Suspect) {
            continue;
        }
        const Duration age = now - entry.since;
        if (age >= timeout) {
            expired.push_back(entry);
        } else if (entry.isOwnSuspicion || age >= timeout - LAST_CALL_PERIODS * m_options.period) {
            asked.push_back(id);
        }
    }
    for (const MemberEntry &entry : expired) {
        setHealth(now, entry, MemberHealth::Dead, actions);
    }
    // A lost message must not be the last word: the observer that raised the suspicion goes on
    // asking, and so does, before its time is over, each that may have missed the refutation.
    const std::size_t count = std::min(asked.size(), LAST_CALLS_PER_TICK);
    for (std::size_t i = 0; i < count; ++i) {
        probeAgain(now, asked[(m_lastCall + i) % asked.size()], actions);
    }
    m_lastCall += count;
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
    // Others were asked when the suspicion came up.
    m_probes[m_lastSequence].hasAskedOthers = true;
}

bool Membership::isProbed(const DaemonId &id) const
{
    return std::any_of(m_probes.begin(), m_probes.end(),
                       [&id](const auto &probe) { return probe.second.target == id; });
}

void Membership::forgetDead(TimePoint now)
{
    std::vector<std::pair<TimePoint, DaemonId>> gone;
    for (const DaemonId &id : m_table.doubtful()) {
        const MemberEntry &entry = *m_table.find(id);
        if (!isUp(entry.health) && id != m_self) {
            gone.emplace_back(entry.since, id);
        }
    }
    if (gone.empty()) {
        return;
    }
    std::sort(gone.begin(), gone.end());
    const std::size_t surplus =
        gone.size() > m_options.maxDead ? gone.size() - m_options.maxDead : 0;
    for (std::size_t i = 0; i < gone.size(); ++i) {
        if (i < surplus || now - gone[i].first >= m_options.deadRetention) {
            m_table.erase(gone[i].second);
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
    m_farPingDue += farShare();
    if (m_farPingDue >= 1) {
        m_farPingDue -= 1;
        if (const MemberEntry *far = nextFarReceiver()) {
            startProbe(now, far->member.id, actions);
            return;
        }
    }
    if (const MemberEntry *near = nextToPing(random)) {
        startProbe(now, near->member.id, actions);
    }
}

/// Takes the members of the own failure domain in random order, each once in a round. Null when
/// there is none.
const MemberEntry *Membership::nextToPing(IRandom &random)
{
    for (std::size_t tried = 0; tried < 2;) {
        if (m_pingAt >= m_pingRing.size()) {
            ++tried;
            startPingRound(random);
            continue;
        }
        const MemberEntry *entry = m_table.find(m_pingRing[m_pingAt++]);
        if (entry && isUp(entry->health)) {
            return entry;
        }
    }
    return nullptr;
}

void Membership::startPingRound(IRandom &random)
{
    for (auto &[domain, ids] : m_receivers) {
        shuffle(ids, random);
    }
    m_pingAt = 0;
    const auto near = m_receivers.find(self().member.domain);
    m_pingRing = near == m_receivers.end() ? std::vector<DaemonId>() : near->second;
}

/// Another daemon holds a member for dead that is up here, as after a partition. Taking its word
/// would remove whole failure domains when they meet again; asking the member lets it refute.
void Membership::verifyDoubted(TimePoint now, MembershipActions &actions)
{
    for (std::size_t i = 0; i < DOUBTS_PER_TICK && !m_doubted.empty(); ++i) {
        const auto [id, counter] = m_doubted.front();
        m_doubted.pop_front();
        const MemberEntry *entry = m_table.find(id);
        if (!entry || entry->health != MemberHealth::Alive || entry->counter > counter) {
            continue;
        }
        // With the version that is held for dead: asked about a newer one, the member would refute
        // once more for each daemon that asks.
        MemberEntry doubted = *entry;
        doubted.counter = counter;
        doubted.health = MemberHealth::Dead;
        m_probes[++m_lastSequence] = Probe{ id, now, false };
        sendPing(doubted, m_lastSequence, actions);
    }
}

void Membership::spread(MembershipActions &actions)
{
    if (!m_queue.isEmpty()) {
        sendGossip(m_options.gossipFanout, actions);
    }
}

void Membership::synchronise(TimePoint now, IRandom &random, MembershipActions &actions)
{
    if (!m_differing || now < m_nextSync) {
        return;
    }
    if (m_differing->digest == m_table.digest()) {
        m_differing.reset();
        return;
    }
    // Digests differ for a few seconds with each change that spreads: only a difference that lasts
    // is worth an exchange. A daemon that has just started cannot wait for it, even if it agrees
    // with another: where all have just started, both know but a part.
    const bool isYoung = now < m_start + YOUNG_TIME;
    const bool isSettled = now - m_differing->since >= 2 * m_options.syncInterval;
    if (m_hasAgreed && !isYoung && !isSettled) {
        return;
    }
    m_nextSync = now + (isYoung ? m_seedPause : syncPause());
    // Two failure domains that differ do so in all their members. A few of them exchange; the
    // others have it from these within their own.
    if (!isNear(m_differing->id) && random.unit() >= farExchangeChance()) {
        return;
    }
    const auto &buckets = m_table.buckets();
    SyncRequestMessage request{ { buckets.begin(), buckets.end() } };
    send(m_differing->id, m_differing->endpoint, makeEmptyMessage(std::move(request)), actions);
    m_differing.reset();
}

Duration Membership::syncPause() const
{
    return m_hasAgreed ? m_options.syncInterval : m_options.period;
}

/// Two sides of a partition hold each other for dead, and nobody pings the dead in turn. Trying one
/// now and then joins them again; the same goes for seeds, when the dead have been forgotten.
void Membership::recontact(TimePoint now, IRandom &random, MembershipActions &actions)
{
    if (now >= m_nextSeed) {
        seekOthers(now, random, actions);
    }
    if (now < m_nextRecontact) {
        return;
    }
    const auto spread = static_cast<std::uint64_t>(m_options.recontactInterval.count());
    m_nextRecontact = now + m_options.recontactInterval / 2 + Duration(random.below(spread));
    if (random.below(RECONTACTS_PER_SEED) == 0) {
        contactSeed(now, random, actions);
    }
    std::vector<const MemberEntry *> dead;
    for (const DaemonId &id : m_table.doubtful()) {
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

/// After a power failure all daemons seek each other at once, and until they have, requests meet no
/// server. So the first questions go to several seeds, in short intervals that grow.
void Membership::seekOthers(TimePoint now, IRandom &random, MembershipActions &actions)
{
    m_nextSeed = now + m_seedPause;
    // A daemon that others found first still asks its seeds: they may not know each other.
    const bool isJoining = now < m_start + JOIN_TIME && !m_silentSeeds.empty();
    if (!isJoining && m_table.upCount() > 1) {
        return;
    }
    if (!m_seeds.empty()) {
        m_seedPause = std::min(2 * m_seedPause, m_options.period);
    }
    for (std::size_t i = 0; i < JOIN_SEEDS; ++i) {
        contactSeed(now, random, actions);
    }
}

/// The seeds that have not spoken yet, or all, without those that are known to be up.
std::vector<MembershipSeed> Membership::seedsToAsk() const
{
    std::set<Endpoint> up;
    for (const auto &[id, entry] : m_table.entries()) {
        if (isUp(entry.health)) {
            up.insert(entry.member.peerEndpoint);
        }
    }
    std::vector<MembershipSeed> seeds;
    for (const auto &[endpoint, domain] : m_seeds) {
        const bool isWanted = m_silentSeeds.empty() || m_silentSeeds.count(endpoint) != 0;
        if (isWanted && up.count(endpoint) == 0) {
            seeds.push_back({ endpoint, domain });
        }
    }
    return seeds;
}

/// Asks a seed of the own failure domain, now and then one of another: when all start at once each
/// answer is a whole table.
void Membership::contactSeed(TimePoint now, IRandom &random, MembershipActions &actions)
{
    std::vector<MembershipSeed> seeds = seedsToAsk();
    if (seeds.empty()) {
        return;
    }
    const auto far = std::partition(seeds.begin(), seeds.end(), [this](const MembershipSeed &seed) {
        return seed.domain.value().empty() || isNear(seed.domain);
    });
    const auto nearSeeds = static_cast<std::size_t>(far - seeds.begin());
    const bool isLonely = m_table.upCount() <= 1 && now >= m_start + LONELY_TIME;
    const bool isAnySought = isLonely || random.unit() < farExchangeChance();
    if (!isAnySought && nearSeeds == 0) {
        return;
    }
    const std::size_t chosen = random.below(isAnySought ? seeds.size() : nearSeeds);
    const auto &buckets = m_table.buckets();
    MembershipMessage message =
        makeEmptyMessage(SyncRequestMessage{ { buckets.begin(), buckets.end() } });
    message.updates.push_back(makeUpdate(self(), true));
    send(DaemonId(), seeds[chosen].endpoint, std::move(message), actions);
}

bool Membership::isNear(const DaemonId &id) const
{
    const MemberEntry *entry = m_table.find(id);
    return entry != nullptr && isNear(entry->member.domain);
}

/// Members of the own failure domain besides this one.
std::size_t Membership::nearCount() const
{
    const auto near = m_receivers.find(self().member.domain);
    return near == m_receivers.end() ? 0 : near->second.size();
}

/// Of the exchanges that a daemon could have with another failure domain, those that it has.
double Membership::farExchangeChance() const
{
    const std::size_t near = std::max(nearCount(), m_nearSeeds);
    return near <= SMALL_DOMAIN ? 1 : FAR_EXCHANGES / static_cast<double>(near);
}

/// Of the messages to others, those that leave the failure domain. A large one has more members to
/// tell at home, and as many to tell others.
double Membership::farShare() const
{
    const auto near = static_cast<double>(nearCount());
    const std::size_t domains = m_receivers.size() - m_receivers.count(self().member.domain);
    const double far = FAR_PER_DOMAIN * static_cast<double>(domains);
    return far == 0 ? 0 : far / (near + far);
}

void Membership::rebuildRings()
{
    m_areRingsStale = false;
    m_receivers.clear();
    for (const auto &[id, entry] : m_table.entries()) {
        if (id != m_self && isUp(entry.health)) {
            m_receivers[entry.member.domain].push_back(id);
        }
    }
    // The table's order is the same in all daemons that learnt of the members in the same order.
    for (auto &[domain, ids] : m_receivers) {
        std::sort(ids.begin(), ids.end());
        std::uint64_t state = m_salt;
        for (std::size_t i = ids.size(); i > 1; --i) {
            constexpr std::uint64_t FACTOR = 6364136223846793005ULL;
            state = state * FACTOR + 1442695040888963407ULL;
            std::swap(ids[i - 1], ids[(state >> 33U) % i]);
        }
    }
}

void Membership::shuffle(std::vector<DaemonId> &ids, IRandom &random) const
{
    for (std::size_t i = ids.size(); i > 1; --i) {
        std::swap(ids[i - 1], ids[random.below(i)]);
    }
}

/// A newcomer of the own failure domain is put at a random place in the rest of the round: at its
/// end, each observer would reach it only after a whole round.
void Membership::joinPingRing(const DaemonId &id)
{
    if (!isNear(id)) {
        return;
    }
    const std::size_t at = std::min(m_pingAt, m_pingRing.size());
    const std::size_t rest = m_pingRing.size() - at;
    const std::size_t place = (std::hash<DaemonId>()(id) ^ m_salt) % (rest + 1);
    m_pingRing.insert(m_pingRing.begin() + static_cast<std::ptrdiff_t>(at + place), id);
}

const MemberEntry *Membership::nextReceiver()
{
    if (m_areRingsStale) {
        rebuildRings();
    }
    m_farDue += farShare();
    if (m_farDue >= 1) {
        m_farDue -= 1;
        if (const MemberEntry *far = nextFarReceiver()) {
            return far;
        }
    }
    const MemberEntry *near = nextReceiverIn(self().member.domain);
    return near ? near : nextFarReceiver();
}

const MemberEntry *Membership::nextFarReceiver()
{
    for (std::size_t tried = 0; tried <= m_receivers.size(); ++tried) {
        auto ring = m_receivers.upper_bound(m_lastDomain);
        if (ring == m_receivers.end()) {
            ring = m_receivers.begin();
        }
        if (ring == m_receivers.end()) {
            return nullptr;
        }
        m_lastDomain = ring->first;
        if (isNear(ring->first)) {
            continue;
        }
        if (const MemberEntry *entry = nextReceiverIn(ring->first)) {
            return entry;
        }
    }
    return nullptr;
}

/// Null when the next one there is not up.
const MemberEntry *Membership::nextReceiverIn(const DomainName &domain)
{
    const auto ring = m_receivers.find(domain);
    if (ring == m_receivers.end()) {
        return nullptr;
    }
    std::size_t &at = m_receiverAt[domain];
    at = (at + 1) % ring->second.size();
    const MemberEntry *entry = m_table.find(ring->second[at]);
    return entry && isUp(entry->health) ? entry : nullptr;
}

std::vector<const MemberEntry *> Membership::nextReceivers(std::size_t count,
                                                           const DaemonId &except)
{
    std::vector<const MemberEntry *> receivers;
    for (std::size_t tried = 0; tried < 2 * count && receivers.size() < count; ++tried) {
        const MemberEntry *entry = nextReceiver();
        const bool isUsable = entry && entry->member.id != except
            && std::find(receivers.begin(), receivers.end(), entry) == receivers.end();
        if (isUsable) {
            receivers.push_back(entry);
        }
    }
    return receivers;
}

double Membership::logMembers() const
{
    return std::log2(static_cast<double>(m_table.upCount() + 1));
}

std::size_t Membership::maxSends() const
{
    const auto sends = static_cast<std::size_t>(std::ceil(m_options.spreadFactor * logMembers()));
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
