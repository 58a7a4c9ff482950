#include "app/internal/quarantine/quarantineservice.h"

#include <algorithm>
#include <utility>

#include "protocol/suspectexchange.h"

namespace ivyspar {

namespace {

std::string runsOf(const SuspectRecord &record)
{
    std::string text;
    for (const Crash &crash : record.crashes) {
        text += (text.empty() ? "" : " ") + crash.run.value();
    }
    return text;
}

} // namespace

QuarantineService::QuarantineService(IEventLoop &loop, IRandom &random, Observers observers,
                                     Send send, const QuarantineOptions &options)
    : m_loop(loop)
    , m_observers(observers)
    , m_send(std::move(send))
    , m_options(options)
    , m_table(makeSuspectTable(options.table))
    , m_gossip(*m_table, random)
    , m_archive(*m_table)
{
}

QuarantineService::~QuarantineService()
{
    m_loop.cancelTimer(m_flushTimer);
    m_loop.cancelTimer(m_compareTimer);
}

void QuarantineService::setMembers(const DaemonId &self, const std::vector<Member> &members)
{
    std::vector<DaemonId> peers;
    for (const Member &member : members) {
        if (member.id != self) {
            peers.push_back(member.id);
        }
    }
    m_gossip.setPeers(m_loop.now(), peers);
    armCompare();
}

void QuarantineService::receive(const DaemonId &from, const std::string &payload)
{
    const auto message = decodeSuspectMessage(payload, m_loop.now());
    if (!message || !m_options.isOn) {
        return;
    }
    std::vector<Fingerprint> changed;
    const OutgoingSuspectMessages sends = m_gossip.receive(m_loop.now(), from, *message, changed);
    for (const Fingerprint &fingerprint : changed) {
        m_mayBeUnsaved = m_mayBeUnsaved || m_crashedHere.count(fingerprint) > 0;
        onChanged(fingerprint);
    }
    sendAll(sends);
    armFlush();
    armCompare();
}

SuspectStoreChanges QuarantineService::syncStore(const std::vector<SuspectRecord> &stored)
{
    if (!m_options.isOn) {
        return {};
    }
    for (const Fingerprint &fingerprint : m_archive.load(m_loop.now(), stored)) {
        onChanged(fingerprint);
    }
    armCompare();
    return m_archive.changes();
}

bool QuarantineService::lift(const Fingerprint &fingerprint)
{
    const bool isKnown = m_table->lift(m_loop.now(), fingerprint);
    if (isKnown) {
        onLocalUpdate(fingerprint);
    }
    return isKnown;
}

std::vector<SuspectStatus> QuarantineService::status() const
{
    const TimePoint now = m_loop.now();
    std::vector<SuspectStatus> all;
    for (SuspectRecord &record : m_table->records()) {
        SuspectStatus status;
        status.assessment = m_table->assess(now, record.fingerprint);
        if (status.assessment.suspicion == Suspicion::None) {
            continue;
        }
        TimePoint first = now;
        for (const Crash &crash : record.crashes) {
            first = std::min(first, crash.at);
        }
        status.firstAge = std::chrono::duration_cast<Duration>(now - first);
        status.lastAge = std::chrono::duration_cast<Duration>(now - record.changedAt);
        status.record = std::move(record);
        all.push_back(std::move(status));
    }
    std::stable_sort(all.begin(), all.end(), [](const SuspectStatus &a, const SuspectStatus &b) {
        return a.assessment.suspicion > b.assessment.suspicion;
    });
    return all;
}

bool QuarantineService::hasSuspects() const
{
    return !m_table->isEmpty();
}

Assessment QuarantineService::assess(const Fingerprint &fingerprint) const
{
    return m_table->assess(m_loop.now(), fingerprint);
}

Assessment QuarantineService::assess(const Fingerprint &fingerprint, const ServerKind &kind) const
{
    return m_table->assess(m_loop.now(), fingerprint, kind);
}

void QuarantineService::recordCrash(const Fingerprint &fingerprint, const Crash &crash)
{
    if (m_options.isOn && m_table->addCrash(m_loop.now(), fingerprint, crash)) {
        m_crashedHere.insert(fingerprint);
        onLocalUpdate(fingerprint);
    }
}

void QuarantineService::recordCompletion(const Fingerprint &fingerprint, const ServerKind &kind)
{
    if (m_table->addCompletion(fingerprint, kind)) {
        onLocalUpdate(fingerprint);
    }
}

void QuarantineService::recordServer(const ServerKind &kind)
{
    if (!m_servers.insert(kind).second) {
        return;
    }
    for (const SuspectRecord &record : m_table->records()) {
        addUntriedKinds(record.fingerprint);
    }
}

void QuarantineService::onLocalUpdate(const Fingerprint &fingerprint)
{
    m_gossip.addLocalUpdate(fingerprint);
    m_mayBeUnsaved = true;
    onChanged(fingerprint);
    armFlush();
    armCompare();
}

/// The daemons whose servers crashed write the records at once; all others check the store from
/// time to time.
void QuarantineService::reportUnsaved()
{
    const bool mayBeUnsaved = std::exchange(m_mayBeUnsaved, false);
    if (mayBeUnsaved && m_onUnsaved && !m_archive.changes().isEmpty()) {
        m_onUnsaved();
    }
}

void QuarantineService::onChanged(const Fingerprint &fingerprint)
{
    addUntriedKinds(fingerprint);
    logQuarantineChange(fingerprint);
    if (m_listener) {
        m_listener->onSuspectChanged(fingerprint);
    }
}

/// Entries send a quarantined request to a new version only once its servers are in the record.
void QuarantineService::addUntriedKinds(const Fingerprint &fingerprint)
{
    for (const ServerKind &kind : m_servers) {
        if (m_table->addUntried(fingerprint, kind)) {
            m_gossip.addLocalUpdate(fingerprint);
            armFlush();
        }
    }
}

/// Logs only the begin and end of a quarantine: many requests are suspects for a moment.
void QuarantineService::logQuarantineChange(const Fingerprint &fingerprint)
{
    const auto found = m_table->find(fingerprint);
    const Assessment now = assess(fingerprint);
    const bool wasQuarantined = m_quarantined.count(fingerprint) > 0;
    const bool isQuarantined = now.suspicion == Suspicion::Quarantined;
    if (!found || isQuarantined == wasQuarantined) {
        return;
    }
    if (isQuarantined) {
        m_quarantined.insert(fingerprint);
        m_observers.metrics.add(Counter::Quarantines);
    } else {
        m_quarantined.erase(fingerprint);
    }
    if (!m_observers.decisions.isEnabled()) {
        return;
    }
    Decision decision;
    decision.kind = DecisionKind::Quarantine;
    decision.importance = Importance::Essential;
    decision.service = found->crashes.empty() ? ServiceName() : found->crashes.front().kind.service;
    decision.fingerprint = fingerprint;
    decision.outcome = toText(now.suspicion);
    decision.inputs = { { "crashes", static_cast<double>(now.crashes) } };
    decision.detail = runsOf(*found);
    m_observers.decisions.write(std::move(decision));
}

void QuarantineService::armFlush()
{
    if (!m_gossip.hasUpdates() || std::exchange(m_isFlushArmed, true)) {
        return;
    }
    m_flushTimer = m_loop.callLater(m_options.flushDelay, [this] {
        m_isFlushArmed = false;
        sendAll(m_gossip.flush());
        reportUnsaved();
    });
}

void QuarantineService::armCompare()
{
    const bool isWanted = m_options.isOn && m_gossip.needsComparison(m_loop.now());
    if (!isWanted || std::exchange(m_isCompareArmed, true)) {
        return;
    }
    m_compareTimer = m_loop.callLater(m_options.compareInterval, [this] { compare(); });
}

void QuarantineService::compare()
{
    m_isCompareArmed = false;
    m_table->expire(m_loop.now());
    for (auto it = m_crashedHere.begin(); it != m_crashedHere.end();) {
        it = m_table->find(*it) ? std::next(it) : m_crashedHere.erase(it);
    }
    for (auto it = m_quarantined.begin(); it != m_quarantined.end();) {
        it = m_table->find(*it) ? std::next(it) : m_quarantined.erase(it);
    }
    sendAll(m_gossip.compare());
    armCompare();
}

void QuarantineService::sendAll(const OutgoingSuspectMessages &sends)
{
    for (const OutgoingSuspectMessage &send : sends) {
        m_send(send.to, encodeSuspectMessage(send.message, m_loop.now()));
    }
}

} // namespace ivyspar
