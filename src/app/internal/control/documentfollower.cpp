#include "app/internal/control/documentfollower.h"

#include <algorithm>
#include <utility>

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
    , m_cursor(log, m_settings.stream, m_settings.wait)
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
        const Ret read = readOnce();
        if (read) {
            onReadDone();
            continue;
        }
        onReadFailed(read.error());
        const Duration pause = m_settings.retry * (1U << std::min(m_failures, 10U));
        m_fiber.pause(std::min(pause, m_settings.longestRetry));
    }
}

Ret DocumentFollower::readOnce()
{
    const auto page = m_cursor.read();
    if (!page) {
        return tl::unexpected<Error>(page.error());
    }
    if (*page) {
        takePage(**page);
    }
    return {};
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

void DocumentFollower::onReadDone()
{
    if (m_failures > 0) {
        notice("configuration: the log can be read again");
    }
    m_failures = 0;
    m_logError.clear();
}

/// While the platform turns this daemon away, others may still be served: without asking them it
/// would go on under an old configuration, or without any after a start.
void DocumentFollower::onReadFailed(const Error &error)
{
    if (m_fiber.isStopped()) {
        return;
    }
    if (m_failures == 0) {
        notice("configuration: the log cannot be read: " + error.text);
    }
    ++m_failures;
    m_logError = error.text;
    askRandomPeer();
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
    m_events.onConfiguration(m_inForce);
    offerToRandomPeers(m_settings.offerFanout);
}

void DocumentFollower::handle(const DaemonId &from, const DocumentOffer &offer)
{
    if (offer.version < version()) {
        m_exchange.send(from, encodeDocumentMessage(DocumentOffer{ version() }));
    }
    if (offer.version <= version()) {
        return;
    }
    m_loop.cancelTimer(m_patienceTimer);
    m_patienceTimer = m_loop.callLater(m_settings.offerPatience, [this, from, offer] {
        if (offer.version > version()) {
            requestFrom(from);
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
/// daemon, or the one that it asks may just be gone. If then its connection to the log is silent as
/// well, it would go on under the old version for seconds. Telling somebody again and again brings
/// an answer from whoever knows a newer one.
void DocumentFollower::offerAgain()
{
    offerToRandomPeers(1);
    m_offerTimer = m_loop.callLater(m_settings.offerInterval, [this] { offerAgain(); });
}

void DocumentFollower::offerToRandomPeers(std::uint32_t count)
{
    std::vector<ControlPeer> peers = m_exchange.peers();
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
