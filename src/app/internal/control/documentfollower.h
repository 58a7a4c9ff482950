#pragma once

#include <memory>
#include <optional>
#include <string>

#include "app/icontrolexchange.h"
#include "app/internal/control/documentoffers.h"
#include "app/internal/control/documentpoller.h"
#include "app/internal/control/documentwatch.h"
#include "app/internal/control/iconfigurationdriver.h"
#include "coordination/configuration/ifreshness.h"
#include "protocol/documentexchange.h"
#include "protocol/idocumentreader.h"
#include "state/irandom.h"
#include "transport/ikeyedlog.h"

namespace ivyspar {

struct DocumentFollowerSettings
{
    StreamName stream;
    /// Key of the records that hold the configuration.
    std::string key;
    DaemonId self;
    DomainName domain;
    /// Limits of the age of the last confirmation.
    FreshnessOptions freshness;
    /// Number of daemons in each failure domain that long-poll the log.
    std::uint32_t readersPerDomain = 2;
    /// Timeout of one long poll of a reader.
    Duration longPollTimeout = std::chrono::seconds(5);
    /// Number of random peers in this failure domain that are offered a new version, or a more
    /// recent confirmation, at once.
    std::uint32_t sameDomainOffers = 3;
    /// Number of random peers in other failure domains that are offered a version received from a
    /// peer. What was read from the log is offered to one peer in each of them.
    std::uint32_t otherDomainOffers = 1;
    /// Time after which an offered version that was received neither from the log nor from the peer
    /// that was asked is requested again.
    Duration offeredVersionTimeout = std::chrono::milliseconds(150);
    /// Interval between periodic offers to a random peer.
    Duration offerInterval = std::chrono::milliseconds(500);
    /// One periodic offer in this many goes to another failure domain.
    std::uint32_t offersPerOtherDomainOffer = 8;
    /// Interval and number of periodic offers while the last confirmation is too old.
    Duration staleOfferInterval = std::chrono::milliseconds(150);
    std::uint32_t staleSameDomainOffers = 2;
    std::uint32_t staleOtherDomainOffers = 1;
};

/// A follower's two connections to the log: a long poll must not delay an immediate read.
struct DocumentLogs
{
    IKeyedLog &poll;
    IKeyedLog &watch;
};

/// Follows a configuration that is stored as one document in a keyed stream of the platform.
///
/// A daemon reads the log when its last confirmation becomes too old. Each read is passed on by
/// gossip, so that few daemons read; one that the gossip does not reach reads by itself in time.
/// Readers in each failure domain also long-poll the log, so that a new version is usually in force
/// at once.
class DocumentFollower : public IConfigurationDriver
{
public:
    /// All references outlive the follower.
    DocumentFollower(DocumentFollowerSettings settings, IEventLoop &loop, DocumentLogs logs,
                     const IDocumentReader &reader, IControlExchange &exchange, IRandom &random,
                     ConfigurationEvents events);
    ~DocumentFollower() override;

    void start() override;
    void stop() override;
    bool receive(const DaemonId &from, const std::string &payload) override;
    ConfigurationStatus status() const override;

private:
    void onPoll(const DocumentRead &read);
    void onWatch(const DocumentRead &read);
    bool applyPage(const KeyedPage &page);
    /// Returns whether `asOf` is later than the previous confirmation.
    bool confirm(TimePoint asOf);
    void sendOffersToAllDomains();
    void onReadFailed(const DocumentRead &read);
    void onReadDone(const DocumentRead &read);
    void notifyLogContact(bool isLost, Duration took) const;
    std::optional<Duration> timeSinceAnswer() const;
    bool isReader() const;
    bool adopt(const std::string &document, const char *source);
    void handle(const DaemonId &from, const DocumentOffer &offer);
    void handle(const DaemonId &from, const DocumentRequest &request);
    void handle(const DaemonId &from, const DocumentPush &push);
    void onOfferedAge(const DaemonId &from, Duration age);
    void onNewerOffer(const DaemonId &from, ConfigurationVersion offered);
    void startOfferedTimer();
    void requestFrom(const DaemonId &peer);
    void sendPeriodicOffer();
    Duration untilNextOffer() const;
    DocumentOffer makeOffer() const;
    ConfigurationVersion version() const;
    void notice(const std::string &text) const;

    DocumentFollowerSettings m_settings;
    IEventLoop &m_loop;
    const IDocumentReader &m_reader;
    IControlExchange &m_exchange;
    IRandom &m_random;
    ConfigurationEvents m_events;
    std::unique_ptr<IFreshness> m_freshness;
    DocumentOffers m_offers;
    DocumentPoller m_poller;
    DocumentWatch m_watch;

    ConfigurationPtr m_inForce;
    std::string m_document;
    std::string m_unreadable;
    bool m_isLogUnavailable = false;
    std::string m_logError;
    /// End of the last read that succeeded.
    std::optional<TimePoint> m_answeredAt;
    /// The newest version that a peer offered, and the peer of the last offer of a newer version.
    ConfigurationVersion m_offered;
    DaemonId m_offeredBy;
    bool m_isAwaitingOffered = false;
    TimerId m_offeredTimer;
    TimerId m_offerTimer;
};

} // namespace ivyspar
