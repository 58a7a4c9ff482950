#include "app/internal/control/documentfollower.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "coordination/configuration/internal/pollschedule.h"

namespace ivyspar {

DocumentFollower::DocumentFollower(DocumentFollowerSettings settings, IEventLoop &loop,
                                   IKeyedLog &log, const IDocumentReader &reader,
                                   IControlExchange &exchange, IRandom &random,
                                   ConfigurationEvents events)
    : m_settings(std::move(settings))
    , m_loop(loop)
    , m_log(log)
    , m_reader(reader)
    , m_exchange(exchange)
    , m_random(random)
    , m_events(std::move(events))
    , m_fiber(loop)
    , m_cursor(log, m_settings.stream)
{
}

DocumentFollower::~DocumentFollower()
{
    m_loop.cancelTimer(m_patienceTimer);
    m_loop.cancelTimer(m_offerTimer);
}

void DocumentFollower::start()
{
    m_fiber.start([this] { follow(); });
    m_offerTimer = m_loop.callLater(m_settings.offerInterval, [this] { offerAgain(); });
}

void DocumentFollower::stop()
{
    m_loop.cancelTimer(m_offerTimer);
    m_fiber.stop([this] { m_log.cancel(); });
}

bool DocumentFollower::receive(const DaemonId &from, const std::string &payload)
{
    const RetVal<DocumentMessage> message = decodeDocumentMessage(payload);
    if (!message) {
        return message.error().code != ErrorCode::NotFound;
    }
    std::visit([this, &from](const auto &each) { handle(from, each); }, *message);
    return true;
}

ConfigurationStatus DocumentFollower::status() const
{
    ConfigurationStatus status;
    status.inForce = version();
    status.accepted = version();
    status.unreadable = m_unreadable;
    status.isJudging = m_cursor.next().has_value();
    status.nextOffset = m_cursor.next().value_or(LogOffset());
    status.logError = m_logError;
    return status;
}

void DocumentFollower::follow()
{
    while (!m_fiber.isStopped()) {
        const TimePoint startedAt = m_loop.now();
        const Ret read = readOnce();
        const auto took = std::chrono::duration_cast<Duration>(m_loop.now() - startedAt);
        if (read) {
            onReadDone(took);
        } else {
            onReadFailed(read.error(), took);
        }
        pauseUntilNextRead();
    }
}

Ret DocumentFollower::readOnce()
{
    const auto page = m_cursor.read(isReader() ? m_settings.wait : Duration::zero());
    if (!page) {
        return tl::unexpected<Error>(page.error());
    }
    takePage(*page);
    return {};
}

/// Without a configuration a daemon serves nobody and cannot wait for its turn.
bool DocumentFollower::isReader() const
{
    if (!m_inForce) {
        return true;
    }
    std::vector<DaemonId> near;
    for (const ControlPeer &peer : m_exchange.peers()) {
        if (peer.domain == m_settings.domain) {
            near.push_back(peer.id);
        }
    }
    return isFastPoller(m_settings.self, near, m_settings.readersPerDomain);
}

void DocumentFollower::pauseUntilNextRead()
{
    const bool isTurnOver = m_failures == 0 || m_failures % m_settings.triesPerTurn == 0;
    if (isTurnOver && !isReader()) {
        pauseUntilNextTurn();
        return;
    }
    if (m_failures > 0) {
        const Duration pause = m_settings.retry * (1U << std::min(m_failures, 10U));
        m_fiber.pause(std::min(pause, m_settings.longestRetry));
    }
}

void DocumentFollower::pauseUntilNextTurn()
{
    m_isTakingTurns = true;
    m_fiber.pause(pauseOfShare(m_settings.readShare, m_exchange.peers().size() + 1, m_random));
    m_isTakingTurns = false;
}

/// Readers may have gone, so that this daemon is one now; its next turn would come after a long
/// pause.
void DocumentFollower::checkDuty()
{
    if (m_isTakingTurns && isReader()) {
        m_fiber.wake();
    }
}

void DocumentFollower::takePage(const KeyedPage &page)
{
    // Only the last one counts: those before it were replaced by it.
    const auto last =
        std::find_if(page.records.rbegin(), page.records.rend(),
                     [this](const KeyedRecord &record) { return record.key == m_settings.key; });
    if (last != page.records.rend() && !last->value.empty()) {
        adopt(last->value, "log");
    }
}

void DocumentFollower::onReadDone(Duration took)
{
    if (m_failures > 0) {
        notice("configuration: the log can be read again");
        tellContact(false, took);
    }
    m_failures = 0;
    m_logError.clear();
    m_answeredAt = m_loop.now();
}

/// While the platform turns this daemon away, others may still be served: without asking them it
/// would go on under an old configuration, or without any after a start.
void DocumentFollower::onReadFailed(const Error &error, Duration took)
{
    if (m_fiber.isStopped()) {
        return;
    }
    if (m_failures == 0) {
        notice("configuration: the log cannot be read: " + error.text);
    }
    m_logError = error.text;
    if (m_failures == 0) {
        tellContact(true, took);
    }
    ++m_failures;
    askRandomPeer();
}

void DocumentFollower::tellContact(bool isLost, Duration took) const
{
    if (m_events.onLogContact) {
        m_events.onLogContact(LogContact{ isLost, took, silence(), m_logError });
    }
}

std::optional<Duration> DocumentFollower::silence() const
{
    if (!m_answeredAt) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(m_loop.now() - *m_answeredAt);
}

void DocumentFollower::adopt(const std::string &document, const char *source)
{
    const RetVal<ConfigurationPtr> read = m_reader.read(document);
    if (!read) {
        m_unreadable = read.error().text;
        notice("configuration: the one from " + std::string(source)
               + " is not used: " + m_unreadable);
        return;
    }
    if ((*read)->version <= version()) {
        return;
    }
    m_unreadable.clear();
    m_inForce = *read;
    m_document = document;
    notice("configuration: version " + std::to_string(version().value()) + " is in force, from "
           + source);
    m_events.onConfiguration(m_inForce, ConfigurationOrigin{ source, silence() });
    offerToNear(m_settings.nearOffers);
    offerToFar(m_settings.farOffers);
}

void DocumentFollower::handle(const DaemonId &from, const DocumentOffer &offer)
{
    if (offer.version < version()) {
        m_exchange.send(from, encodeDocumentMessage(DocumentOffer{ version() }));
    }
    if (offer.version <= version()) {
        return;
    }
    m_offered = std::max(m_offered, offer.version);
    m_offeredBy = from;
    if (m_isPatient) {
        return;
    }
    // Several offer a new version in the same moment, and a document may be large: only one is
    // asked at a time. The next one is asked if that one is gone.
    if (!isReader()) {
        requestFrom(from);
    }
    m_isPatient = true;
    m_patienceTimer = m_loop.callLater(m_settings.offerPatience, [this] {
        m_isPatient = false;
        if (m_offered > version()) {
            requestFrom(m_offeredBy);
        }
    });
}

void DocumentFollower::handle(const DaemonId &from, const DocumentRequest &request)
{
    if (request.version < version()) {
        m_exchange.send(from, encodeDocumentMessage(DocumentPush{ m_document }));
    }
}

void DocumentFollower::handle(const DaemonId &from, const DocumentPush &push)
{
    adopt(push.document, from.value().c_str());
}

void DocumentFollower::requestFrom(const DaemonId &peer)
{
    m_exchange.send(peer, encodeDocumentMessage(DocumentRequest{ version() }));
}

void DocumentFollower::askRandomPeer()
{
    const std::vector<ControlPeer> peers = m_exchange.peers();
    if (!peers.empty()) {
        requestFrom(peers[m_random.below(peers.size())].id);
    }
}

/// Those who adopt a version tell a few others at random, and by chance nobody may tell this
/// daemon, or the one that it asks may just be gone. It would go on under the old version until its
/// turn to read comes. Telling somebody again and again brings an answer from whoever knows a newer
/// one. Now and then it is somebody far: all of a failure domain may be behind.
void DocumentFollower::offerAgain()
{
    if (m_random.below(m_settings.offersPerFarOffer) == 0) {
        offerToFar(1);
    } else {
        offerToNear(1);
    }
    checkDuty();
    m_offerTimer = m_loop.callLater(m_settings.offerInterval, [this] { offerAgain(); });
}

void DocumentFollower::offerToNear(std::uint32_t count)
{
    std::vector<ControlPeer> all = m_exchange.peers();
    std::vector<ControlPeer> near;
    std::copy_if(all.begin(), all.end(), std::back_inserter(near),
                 [this](const ControlPeer &peer) { return peer.domain == m_settings.domain; });
    offerTo(near.empty() ? std::move(all) : std::move(near), count);
}

void DocumentFollower::offerToFar(std::uint32_t count)
{
    std::vector<ControlPeer> far = m_exchange.peers();
    far.erase(std::remove_if(
                  far.begin(), far.end(),
                  [this](const ControlPeer &peer) { return peer.domain == m_settings.domain; }),
              far.end());
    offerTo(std::move(far), count);
}

void DocumentFollower::offerTo(std::vector<ControlPeer> peers, std::uint32_t count)
{
    const std::string offer = encodeDocumentMessage(DocumentOffer{ version() });
    for (std::uint32_t i = 0; i < count && !peers.empty(); ++i) {
        const std::size_t chosen = m_random.below(peers.size());
        m_exchange.send(peers[chosen].id, offer);
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

ConfigurationVersion DocumentFollower::version() const
{
    return m_inForce ? m_inForce->version : ConfigurationVersion();
}

void DocumentFollower::notice(const std::string &text) const
{
    if (m_events.onNotice) {
        m_events.onNotice(text);
    }
}

} // namespace ivyspar
