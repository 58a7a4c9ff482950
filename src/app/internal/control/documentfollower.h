#pragma once

#include <optional>
#include <string>

#include "app/icontrolexchange.h"
#include "app/internal/control/backgroundfiber.h"
#include "app/internal/control/iconfigurationdriver.h"
#include "app/internal/control/keyedcursor.h"
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
    /// Daemons of each failure domain that follow the stream; the others hear of news from them.
    std::uint32_t readersPerDomain = 2;
    /// How long one read of a reader waits for news. A connection that went silent is noticed after
    /// this time.
    Duration wait = std::chrono::seconds(5);
    /// Mean time between two reads of all daemons together that are no readers.
    Duration readShare = std::chrono::milliseconds(400);
    /// A connection that went silent fails the first read of a turn, and the next opens another.
    std::uint32_t triesPerTurn = 3;
    /// Pause after a read that failed, and how long it grows while reads go on failing.
    Duration retry = std::chrono::milliseconds(100);
    Duration longestRetry = std::chrono::seconds(1);
    /// Random peers of the own failure domain, and of others, that hear of a new version at once.
    std::uint32_t nearOffers = 3;
    std::uint32_t farOffers = 1;
    /// Time in which a daemon that hears of a newer version usually gets it from the log, if it is
    /// a reader, or from the peer that it asked.
    Duration offerPatience = std::chrono::milliseconds(150);
    /// How often a random peer hears which version is in force here; one of so many times it is a
    /// peer of another failure domain.
    Duration offerInterval = std::chrono::milliseconds(500);
    std::uint32_t offersPerFarOffer = 8;
};

/// Follows a configuration that stands as one document in a keyed stream of the platform. A few
/// readers in each failure domain wait for news; they offer what they find to others, who fetch it
/// from them and offer it on. With a read of each daemon for each version and each wait, the log
/// would be asked in proportion to the daemons.
///
/// Readers may be dead, cut off from the log, or turned away by it, all at once. So a daemon
/// without a configuration waits for news itself, and the others take turns to read without
/// waiting: any that the log still serves finds a new version within a part of a second, and offers
/// it.
class DocumentFollower : public IConfigurationDriver
{
public:
    /// All references outlive the follower.
    DocumentFollower(DocumentFollowerSettings settings, IEventLoop &loop, IKeyedLog &log,
                     const IDocumentReader &reader, IControlExchange &exchange, IRandom &random,
                     ConfigurationEvents events);
    ~DocumentFollower() override;

    void start() override;
    void stop() override;
    bool receive(const DaemonId &from, const std::string &payload) override;
    ConfigurationStatus status() const override;

private:
    void follow();
    Ret readOnce();
    bool isReader() const;
    void pauseUntilNextRead();
    void pauseUntilNextTurn();
    void takePage(const KeyedPage &page);
    void onReadFailed(const Error &error, Duration took);
    void onReadDone(Duration took);
    void tellContact(bool isLost, Duration took) const;
    std::optional<Duration> silence() const;
    void adopt(const std::string &document, const char *source);
    void handle(const DaemonId &from, const DocumentOffer &offer);
    void handle(const DaemonId &from, const DocumentRequest &request);
    void handle(const DaemonId &from, const DocumentPush &push);
    void requestFrom(const DaemonId &peer);
    void askRandomPeer();
    void offerTo(std::vector<ControlPeer> peers, std::uint32_t count);
    void offerToNear(std::uint32_t count);
    void offerToFar(std::uint32_t count);
    void offerAgain();
    void checkDuty();
    ConfigurationVersion version() const;
    void notice(const std::string &text) const;

    DocumentFollowerSettings m_settings;
    IEventLoop &m_loop;
    IKeyedLog &m_log;
    const IDocumentReader &m_reader;
    IControlExchange &m_exchange;
    IRandom &m_random;
    ConfigurationEvents m_events;
    BackgroundFiber m_fiber;
    KeyedCursor m_cursor;

    ConfigurationPtr m_inForce;
    std::string m_document;
    std::string m_unreadable;
    std::string m_logError;
    std::uint32_t m_failures = 0;
    /// When the last read that the log answered ended.
    std::optional<TimePoint> m_answeredAt;
    /// Reads without waiting, in turn with all others.
    bool m_isTakingTurns = false;
    /// The newest version offered here, and by whom.
    ConfigurationVersion m_offered;
    DaemonId m_offeredBy;
    bool m_isPatient = false;
    TimerId m_patienceTimer;
    TimerId m_offerTimer;
};

} // namespace ivyspar
