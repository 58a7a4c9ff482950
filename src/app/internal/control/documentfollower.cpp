#include "app/internal/control/documentfollower.h"

#include <algorithm>
#include <utility>

#include "coordination/configuration/internal/pollschedule.h"

namespace ivyspar {

DocumentFollower::DocumentFollower(DocumentFollowerSettings settings, IEventLoop &loop,
                                   DocumentLogs logs, const IDocumentReader &reader,
                                   IControlExchange &exchange, IRandom &random,
                                   ConfigurationEvents events)
    : m_settings(std::move(settings))
    , m_loop(loop)
    , m_reader(reader)
    , m_exchange(exchange)
    , m_random(random)
    , m_events(std::move(events))
    , m_freshness(makeFreshness(m_settings.freshness))
    , m_offers(m_settings.domain, exchange, random, [this] { return makeOffer(); })
    , m_poller(loop, logs.poll, m_settings.stream, *m_freshness,
               [this](const DocumentRead &read) { onPoll(read); })
    , m_watch(
          loop, logs.watch, m_settings.stream, m_settings.longPollTimeout,
          m_settings.freshness.maxRetryInterval, [this] { return isReader(); },
          [this](const DocumentRead &read) { onWatch(read); })
{
}

DocumentFollower::~DocumentFollower()
{
    m_loop.cancelTimer(m_offeredTimer);
    m_loop.cancelTimer(m_offerTimer);
}

void DocumentFollower::start()
{
    m_poller.start();
    m_watch.start();
    m_offerTimer = m_loop.callLater(m_settings.offerInterval, [this] { sendPeriodicOffer(); });
}

void DocumentFollower::stop()
{
    m_loop.cancelTimer(m_offerTimer);
    m_watch.stop();
    m_poller.stop();
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
    const std::optional<LogOffset> &next = m_poller.cursor().next();
    ConfigurationStatus status;
    status.inForce = version();
    status.accepted = version();
    status.unreadable = m_unreadable;
    status.hasLogState = next.has_value();
    status.isFastPoller = isReader();
    status.nextOffset = next.value_or(LogOffset());
    status.logError = m_logError;
    return status;
}

/// An immediate read returns the state of the log at its start.
void DocumentFollower::onPoll(const DocumentRead &read)
{
    if (!read.page) {
        m_freshness->onReadFailed(read.startedAt, m_random);
        onReadFailed(read);
        return;
    }
    const bool wasUnavailable = m_isLogUnavailable;
    applyPage(*read.page);
    confirm(read.startedAt);
    onReadDone(read);
    m_watch.cursor().skipTo(read.page->era, read.page->next);
    m_watch.wakeIfNeeded();
    // The watch missed these records, or the outage: its connection may have gone silent.
    if (wasUnavailable || !read.page->records.empty()) {
        m_watch.restart();
    }
    sendOffersToAllDomains();
}

void DocumentFollower::sendOffersToAllDomains()
{
    m_offers.sendToSameDomain(m_settings.sameDomainOffers);
    m_offers.sendToEachDomain();
}

void DocumentFollower::onWatch(const DocumentRead &read)
{
    if (!read.page) {
        onReadFailed(read);
        return;
    }
    const bool isNewVersion = applyPage(*read.page);
    onReadDone(read);
    m_poller.cursor().skipTo(read.page->era, read.page->next);
    if (isNewVersion) {
        sendOffersToAllDomains();
    }
    // The long poll ran its full time without a new record.
    if (read.page->records.empty() && read.took >= m_settings.longPollTimeout) {
        confirm(read.startedAt + m_settings.longPollTimeout);
    }
}

bool DocumentFollower::confirm(TimePoint asOf)
{
    const bool isLater = m_freshness->confirm(m_loop.now(), asOf, m_random);
    if (isLater && m_events.onConfirmed && m_unreadable.empty()) {
        m_events.onConfirmed(asOf);
    }
    return isLater;
}

/// Returns whether a new version came into force.
bool DocumentFollower::applyPage(const KeyedPage &page)
{
    // The last record of the key supersedes those before it.
    const auto last =
        std::find_if(page.records.rbegin(), page.records.rend(),
                     [this](const KeyedRecord &record) { return record.key == m_settings.key; });
    return last != page.records.rend() && !last->value.empty() && adopt(last->value, "log");
}

void DocumentFollower::onReadDone(const DocumentRead &read)
{
    if (m_isLogUnavailable) {
        notice("configuration: the log can be read again");
        notifyLogContact(false, read.took);
    }
    m_isLogUnavailable = false;
    m_logError.clear();
    m_answeredAt = m_loop.now();
}

/// While the platform refuses this daemon, it may still serve others. Without a request to a peer
/// this daemon would keep an old configuration or, after a start, have none.
void DocumentFollower::onReadFailed(const DocumentRead &read)
{
    m_logError = read.page.error().text;
    if (!std::exchange(m_isLogUnavailable, true)) {
        notice("configuration: the log cannot be read: " + m_logError);
        notifyLogContact(true, read.took);
    }
    const std::vector<ControlPeer> peers = m_exchange.peers();
    if (!peers.empty()) {
        requestFrom(peers[m_random.below(peers.size())].id);
    }
}

void DocumentFollower::notifyLogContact(bool isLost, Duration took) const
{
    if (m_events.onLogContact) {
        m_events.onLogContact(LogContact{ isLost, took, timeSinceAnswer(), m_logError });
    }
}

std::optional<Duration> DocumentFollower::timeSinceAnswer() const
{
    if (!m_answeredAt) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(m_loop.now() - *m_answeredAt);
}

bool DocumentFollower::isReader() const
{
    std::vector<DaemonId> sameDomainPeers;
    for (const ControlPeer &peer : m_exchange.peers()) {
        if (peer.domain == m_settings.domain) {
            sameDomainPeers.push_back(peer.id);
        }
    }
    return isFastPoller(m_settings.self, sameDomainPeers, m_settings.readersPerDomain);
}

/// Returns whether the document came into force because its version is newer.
bool DocumentFollower::adopt(const std::string &document, const char *source)
{
    const RetVal<ConfigurationPtr> read = m_reader.read(document);
    if (!read) {
        m_unreadable = read.error().text;
        notice("configuration: the document from " + std::string(source)
               + " cannot be read: " + m_unreadable);
        return false;
    }
    if ((*read)->version <= version()) {
        return false;
    }
    m_unreadable.clear();
    m_inForce = *read;
    m_document = m_reader.withoutSecrets(document);
    notice("configuration: version " + std::to_string(version().value()) + " is in force, from "
           + source);
    m_events.onConfiguration(m_inForce,
                             ConfigurationOrigin{ source, m_freshness->age(m_loop.now()) });
    return true;
}

void DocumentFollower::handle(const DaemonId &from, const DocumentOffer &offer)
{
    if (offer.version < version()) {
        m_offers.sendTo(from);
        return;
    }
    if (offer.version > version()) {
        onNewerOffer(from, offer.version);
        return;
    }
    if (offer.age) {
        onOfferedAge(from, *offer.age);
    } else if (m_freshness->age(m_loop.now())) {
        m_offers.sendTo(from);
    }
}

/// Passes a confirmation on only if it is more recent than this daemon's own by a quarter of the
/// maximum age, so that it reaches all daemons and the gossip about it ends.
void DocumentFollower::onOfferedAge(const DaemonId &from, Duration age)
{
    const TimePoint now = m_loop.now();
    const Duration relevantDifference = m_settings.freshness.maxAge() / 4;
    const std::optional<Duration> own = m_freshness->age(now);
    if (own && age > *own + relevantDifference) {
        m_offers.sendTo(from);
        return;
    }
    const bool isLater = confirm(now - age);
    if (isLater && (!own || *own > age + relevantDifference)) {
        m_offers.sendToSameDomain(m_settings.sameDomainOffers);
    }
}

/// Several peers offer a new version at the same time, and a document may be large: only one peer
/// is asked at a time, and another one if it does not answer.
void DocumentFollower::onNewerOffer(const DaemonId &from, ConfigurationVersion offered)
{
    m_offered = std::max(m_offered, offered);
    m_offeredBy = from;
    if (m_isAwaitingOffered) {
        return;
    }
    // A reader receives the version from the log at about the same time, unless the log is
    // unavailable.
    if (!isReader() || m_isLogUnavailable) {
        requestFrom(from);
    }
    startOfferedTimer();
}

void DocumentFollower::startOfferedTimer()
{
    m_isAwaitingOffered = true;
    m_offeredTimer = m_loop.callLater(m_settings.offeredVersionTimeout, [this] {
        m_isAwaitingOffered = false;
        if (m_offered <= version()) {
            return;
        }
        requestFrom(m_offeredBy);
        // A document that this program cannot read would be read from the log repeatedly.
        if (m_unreadable.empty()) {
            m_freshness->expire();
            m_poller.wake();
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
    if (adopt(push.document, from.value().c_str())) {
        m_offers.sendToSameDomain(m_settings.sameDomainOffers);
        m_offers.sendToOtherDomains(m_settings.otherDomainOffers);
    }
}

void DocumentFollower::requestFrom(const DaemonId &peer)
{
    m_exchange.send(peer, encodeDocumentMessage(DocumentRequest{ version() }));
}

/// Daemons offer a version that they adopt to a few random peers, which may miss this daemon by
/// chance. A peer that receives an older offer answers with its newer version. Some offers go to
/// other failure domains, as a whole domain may lack the version.
void DocumentFollower::sendPeriodicOffer()
{
    m_offerTimer = m_loop.callLater(untilNextOffer(), [this] { sendPeriodicOffer(); });
    if (m_freshness->isStale(m_loop.now())) {
        m_offers.sendToSameDomain(m_settings.staleSameDomainOffers);
        m_offers.sendToOtherDomains(m_settings.staleOtherDomainOffers);
    } else if (m_random.below(m_settings.offersPerOtherDomainOffer) == 0) {
        m_offers.sendToOtherDomains(1);
    } else {
        m_offers.sendToSameDomain(1);
    }
    m_watch.wakeIfNeeded();
}

Duration DocumentFollower::untilNextOffer() const
{
    const std::optional<Duration> age = m_freshness->age(m_loop.now());
    const Duration longest = m_settings.freshness.maxAge();
    const Duration untilStale = longest - age.value_or(longest);
    return std::min(std::max(untilStale, m_settings.staleOfferInterval), m_settings.offerInterval);
}

DocumentOffer DocumentFollower::makeOffer() const
{
    DocumentOffer offer;
    offer.version = version();
    // The unreadable version is newer, and other daemons may be able to read it.
    if (m_unreadable.empty()) {
        offer.age = m_freshness->age(m_loop.now());
    }
    return offer;
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
