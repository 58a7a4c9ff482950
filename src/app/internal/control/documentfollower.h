#pragma once

#include <memory>
#include <optional>
#include <string>

#include "app/icontrolexchange.h"
#include "app/internal/control/documentcheck.h"
#include "app/internal/control/documentoffers.h"
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
    /// Key under which the newest configuration stands.
    std::string key;
    DaemonId self;
    DomainName domain;
    /// How current each daemon keeps itself.
    FreshnessOptions freshness;
    /// Daemons of each failure domain that wait at the log for news.
    std::uint32_t readersPerDomain = 2;
    /// How long one read of a reader waits for news.
    Duration longPollTimeout = std::chrono::seconds(5);
    /// Random peers of the own failure domain that hear at once of a new version, or of how the log
    /// stood a moment ago.
    std::uint32_t sameDomainOffers = 3;
    /// Random peers of other failure domains that hear of a version which a peer brought. Of what
    /// was read from the log, one in each domain hears.
    std::uint32_t otherDomainOffers = 1;
    /// Time in which a daemon that hears of a newer version usually gets it from the log, if it is
    /// a reader, or from the peer that it asked.
    Duration offeredVersionTimeout = std::chrono::milliseconds(150);
    /// How often a random peer hears which version is in force here; one of so many times it is a
    /// peer of another failure domain.
    Duration offerInterval = std::chrono::milliseconds(500);
    std::uint32_t offersPerOtherDomainOffer = 8;
    /// The same while neither the log nor a peer told this daemon anything in time, and to how
    /// many.
    Duration staleOfferInterval = std::chrono::milliseconds(150);
    std::uint32_t staleSameDomainOffers = 2;
    std::uint32_t staleOtherDomainOffers = 1;
};

/// The two connections of a follower to the log: a read that waits must not hold up one that does
/// not.
struct DocumentLogs
{
    IKeyedLog &check;
    IKeyedLog &watch;
};

/// Follows a configuration that stands as one document in a keyed stream of the platform.
///
/// A daemon that does not know how the log stood a moment ago reads it. Whoever reads tells others,
/// who pass it on, so that few read; a daemon that nobody tells reads for itself in time. Readers
/// in each failure domain wait at the log besides, so that news are usually in force at once.
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
    void onCheck(const DocumentRead &read);
    void onWatch(const DocumentRead &read);
    bool applyPage(const KeyedPage &page);
    /// Returns whether that is later than what was known.
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
    DocumentCheck m_check;
    DocumentWatch m_watch;

    ConfigurationPtr m_inForce;
    std::string m_document;
    std::string m_unreadable;
    bool m_isLogUnreachable = false;
    std::string m_logError;
    /// When the last read that the log answered ended.
    std::optional<TimePoint> m_answeredAt;
    /// The newest version offered here, and by whom.
    ConfigurationVersion m_offered;
    DaemonId m_offeredBy;
    bool m_isAwaitingOffered = false;
    TimerId m_offeredTimer;
    TimerId m_offerTimer;
};

} // namespace ivyspar
