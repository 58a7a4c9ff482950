#include "app/internal/control/configurationfollower.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "coordination/configuration/configurationstatemachinefactory.h"
#include "protocol/internal/configurationrecordcodec.h"

namespace ivyspar {

namespace {

constexpr std::uint32_t PAGE_RECORDS = 64;
/// A version that was requested and not received may be requested again after this time.
constexpr Duration REQUEST_TIMEOUT = std::chrono::milliseconds(500);
/// Minimum time between requests for the log position of the version that is already held.
constexpr Duration POSITION_REQUEST_INTERVAL = std::chrono::seconds(10);
constexpr Duration STOP_TIMEOUT = std::chrono::minutes(1);

} // namespace

ConfigurationFollower::ConfigurationFollower(ConfigurationFollowerSettings settings,
                                             IEventLoop &loop, ILogService &log,
                                             const IConfigurationReader &reader,
                                             IControlExchange &exchange, IRandom &random,
                                             ConfigurationEvents events)
    : m_settings(std::move(settings))
    , m_loop(loop)
    , m_log(log)
    , m_reader(reader)
    , m_exchange(exchange)
    , m_random(random)
    , m_events(std::move(events))
    , m_stateMachine(makeConfigurationStateMachine())
    , m_poll(m_settings.poll)
    , m_snapshot(m_settings.snapshot)
{
}

ConfigurationFollower::~ConfigurationFollower() = default;

void ConfigurationFollower::start()
{
    spawn(&ConfigurationFollower::followLog);
    spawn(&ConfigurationFollower::offerVersions);
}

void ConfigurationFollower::stop()
{
    m_isStopped = true;
    if (m_runningFibers == 0) {
        return;
    }
    m_ended = std::make_unique<OneShot<bool>>(m_loop);
    for (Pause *each : { &m_pollPause, &m_offerPause }) {
        if (*each) {
            (*each)->set(true);
        }
    }
    m_log.cancelReads();
    m_ended->wait(STOP_TIMEOUT);
}

bool ConfigurationFollower::receive(const DaemonId &from, const std::string &payload)
{
    const RetVal<ConfigurationMessage> message = decodeConfigurationMessage(payload);
    if (!message) {
        return message.error().code != ErrorCode::NotFound;
    }
    if (!m_isStopped) {
        std::visit([this, &from](const auto &each) { handle(from, each); }, *message);
    }
    return true;
}

ConfigurationStatus ConfigurationFollower::status() const
{
    ConfigurationStatus status;
    status.inForce = m_inForce ? m_inForce->version : ConfigurationVersion();
    if (const AcceptedConfiguration *current = m_stateMachine->current()) {
        status.accepted = current->version;
        status.changeId = current->changeId;
    }
    status.unreadable = m_unreadable;
    status.hasLogState = m_stateMachine->logState() != nullptr;
    status.isFastPoller = m_poll.isFast();
    status.nextOffset = m_stateMachine->nextOffset();
    status.anchor = m_stateMachine->anchor();
    status.logError = m_logError;
    status.snapshotsAppended = m_snapshotsAppended;
    return status;
}

void ConfigurationFollower::spawn(void (ConfigurationFollower::*body)())
{
    ++m_runningFibers;
    m_loop.spawn([this, body] {
        (this->*body)();
        --m_runningFibers;
        if (m_runningFibers == 0 && m_ended) {
            m_ended->set(true);
        }
    });
}

void ConfigurationFollower::pause(Pause &pause, Duration duration)
{
    if (m_isStopped || duration <= Duration::zero()) {
        return;
    }
    pause = std::make_unique<OneShot<bool>>(m_loop);
    pause->wait(duration);
    pause.reset();
}

void ConfigurationFollower::followLog()
{
    while (!m_isStopped) {
        pause(m_pollPause, readOnce());
    }
}

void ConfigurationFollower::offerVersions()
{
    while (!m_isStopped) {
        offerToRandomPeers(1);
        // Random, so that daemons that start together do not stay synchronized.
        const auto half = static_cast<std::uint64_t>(
            std::max<Duration::rep>(1, m_settings.offerInterval.count()));
        pause(m_offerPause, m_settings.offerInterval / 2 + Duration(m_random.below(half)));
    }
}

/// Reads and applies one page. Returns the pause before the next read.
Duration ConfigurationFollower::readOnce()
{
    std::vector<DaemonId> domainPeers;
    for (const ControlPeer &peer : m_exchange.peers()) {
        if (peer.domain == m_settings.domain) {
            domainPeers.push_back(peer.id);
        }
    }
    m_poll.setFast(isFastPoller(m_settings.self, domainPeers, m_settings.poll.fastPerDomain));
    const TimePoint start = m_loop.now();
    const RetVal<LogPage> page =
        m_log.read(StreamName(CONFIGURATION_STREAM), m_stateMachine->nextOffset(), PAGE_RECORDS,
                   m_poll.longPollTimeout());
    if (m_isStopped) {
        return Duration::zero();
    }
    if (!page) {
        setLogError(page.error().text);
        return m_poll.onFailure(m_random);
    }
    setLogError({});
    applyPage(*page);
    if (m_snapshot.updateAndCheckDue(m_loop.now(), *m_stateMachine, page->first, page->end,
                                     m_poll.isFast(), m_random)) {
        renewSnapshot();
    }
    const bool isAtEnd = m_stateMachine->nextOffset() >= page->end || page->records.empty();
    if (isAtEnd && m_events.onConfirmed) {
        m_events.onConfirmed(start);
    }
    return m_poll.onPage(page->records.empty(), isAtEnd, m_loop.now() - start, m_random);
}

void ConfigurationFollower::applyPage(const LogPage &page)
{
    m_stateMachine->truncateBefore(page.first);
    for (const LogRecord &record : page.records) {
        applyRecord(record);
    }
    // Discarded: only publishers need them, and they read the stream themselves.
    m_stateMachine->takeDeferredResults();
    activateCurrent();
}

void ConfigurationFollower::applyRecord(const LogRecord &record)
{
    const RetVal<ConfigurationRecord> decoded = decodeConfigurationRecord(record.payload);
    const std::string recordText = "record " + std::to_string(record.offset.value());
    if (!decoded) {
        m_stateMachine->skip(record.offset);
        notice(recordText + " skipped: " + decoded.error().text);
        return;
    }
    const std::string change = "change " + decoded->changeId + " based on version "
        + std::to_string(decoded->base.value());
    switch (m_stateMachine->apply(record.offset, *decoded)) {
    case ApplyResult::Conflict:
        notice(recordText + " refused: " + change + " is not based on the current version");
        break;
    case ApplyResult::Malformed:
        notice(recordText + " refused: the text of " + change + " is damaged");
        break;
    case ApplyResult::Deferred:
        notice(recordText + " not applied yet: older records were lost, waiting for a snapshot");
        break;
    case ApplyResult::Accepted:
    case ApplyResult::Duplicate:
        break;
    }
}

void ConfigurationFollower::renewSnapshot()
{
    const AcceptedConfiguration *logState = m_stateMachine->logState();
    ConfigurationRecord record;
    record.kind = ConfigurationRecord::Kind::Snapshot;
    record.changeId = logState->changeId;
    record.base = logState->version;
    record.digest = logState->digest;
    record.inventory = logState->inventory;
    record.rules = logState->rules;
    record.position = *logState->position;
    const RetVal<std::string> payload = encodeConfigurationRecord(record);
    if (!payload) {
        notice("snapshot not written: " + payload.error().text);
        return;
    }
    const RetVal<LogOffset> offset = m_log.append(StreamName(CONFIGURATION_STREAM), *payload);
    // A snapshot that was appended although its response was lost is found by the next read.
    if (!offset) {
        m_snapshot.onFailure(m_loop.now(), m_random);
        notice("snapshot not written: " + offset.error().text);
        return;
    }
    ++m_snapshotsAppended;
    notice("configuration snapshot of version " + std::to_string(record.base.value())
           + " written at offset " + std::to_string(offset->value()));
}

/// Logs only transitions: an outage may last for hours.
void ConfigurationFollower::setLogError(const std::string &text)
{
    if (text.empty() != m_logError.empty()) {
        notice(text.empty()
                   ? "the configuration stream of the platform's log can be read again"
                   : "the configuration stream of the platform's log cannot be read: " + text);
    }
    m_logError = text;
}

/// A peer with an older version is sent an offer rather than the version: several daemons may
/// answer it at the same time, and it requests the version from only one of them.
void ConfigurationFollower::handle(const DaemonId &from, const ConfigurationOffer &offer)
{
    const ConfigurationOffer own = makeOffer();
    if (offer.version < own.version) {
        send(from, own);
        return;
    }
    if (shouldRequest(offer)) {
        send(from, ConfigurationRequest{});
    }
}

void ConfigurationFollower::handle(const DaemonId &from, const ConfigurationRequest & /*request*/)
{
    if (const AcceptedConfiguration *accepted = heldConfiguration()) {
        send(from, ConfigurationPush{ *accepted });
    }
}

void ConfigurationFollower::handle(const DaemonId &from, const ConfigurationPush &push)
{
    if (m_stateMachine->adopt(push.accepted)) {
        notice("version " + std::to_string(push.accepted.version.value()) + " received from "
               + from.value());
    }
    activateCurrent();
}

void ConfigurationFollower::send(const DaemonId &to, const ConfigurationMessage &message)
{
    RetVal<std::string> payload = encodeConfigurationMessage(message);
    if (payload) {
        m_exchange.send(to, std::move(*payload));
    }
}

void ConfigurationFollower::offerToRandomPeers(std::uint32_t count)
{
    std::vector<ControlPeer> peers = m_exchange.peers();
    const ConfigurationOffer offer = makeOffer();
    for (std::uint32_t i = 0; i < count && !peers.empty(); ++i) {
        std::swap(peers[m_random.below(peers.size())], peers.back());
        send(peers.back().id, offer);
        peers.pop_back();
    }
}

/// Whether the offer is useful and was not requested recently: it has a newer version, or the log
/// position of the held version, without which no record can be applied.
bool ConfigurationFollower::shouldRequest(const ConfigurationOffer &offer)
{
    const ConfigurationOffer own = makeOffer();
    const bool isNewer = offer.version > own.version;
    const bool hasNeededPosition = offer.version == own.version && offer.hasPosition
        && !m_stateMachine->logState() && offer.version.value() > 0;
    if (!isNewer && !hasNeededPosition) {
        return false;
    }
    const TimePoint now = m_loop.now();
    const Duration interval = isNewer ? REQUEST_TIMEOUT : POSITION_REQUEST_INTERVAL;
    if (offer.version <= m_requestedVersion && now - m_requestedAt < interval) {
        return false;
    }
    m_requestedVersion = offer.version;
    m_requestedAt = now;
    return true;
}

ConfigurationOffer ConfigurationFollower::makeOffer() const
{
    const AcceptedConfiguration *accepted = heldConfiguration();
    if (!accepted) {
        return {};
    }
    return { accepted->version, accepted->position.has_value() };
}

/// The held version, with its log position if that is known.
const AcceptedConfiguration *ConfigurationFollower::heldConfiguration() const
{
    const AcceptedConfiguration *current = m_stateMachine->current();
    const AcceptedConfiguration *logState = m_stateMachine->logState();
    return current && logState && logState->version == current->version ? logState : current;
}

/// Puts the accepted version into force. A version that this program cannot read, for example
/// because the publisher is newer, is still held and offered; the previous one stays in force.
void ConfigurationFollower::activateCurrent()
{
    const AcceptedConfiguration *current = m_stateMachine->current();
    const bool isKnown =
        !current || (current->version == m_readVersion && current->digest == m_readDigest);
    if (isKnown) {
        return;
    }
    m_readVersion = current->version;
    m_readDigest = current->digest;
    const ReadConfiguration read = m_reader.read({ current->inventory, current->rules },
                                                 "inventory", "rules", current->version);
    if (!read.configuration) {
        const bool hasText = !read.problems.empty();
        m_unreadable = hasText ? read.problems.front().text() : "cannot be read";
        notice(describe(*current)
               + " was accepted, but this program cannot read it: " + m_unreadable);
    } else {
        m_unreadable.clear();
        m_inForce = read.configuration;
        notice(describe(*current) + " is in force");
        m_events.onConfiguration(m_inForce, {});
    }
    offerToRandomPeers(m_settings.changeFanout);
}

std::string ConfigurationFollower::describe(const AcceptedConfiguration &accepted) const
{
    return "version " + std::to_string(accepted.version.value()) + " (change " + accepted.changeId
        + ")";
}

void ConfigurationFollower::notice(const std::string &text) const
{
    if (m_events.onNotice) {
        m_events.onNotice("configuration: " + text);
    }
}

} // namespace ivyspar
