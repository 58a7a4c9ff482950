#pragma once

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
    /// How long one read waits for news. A connection that went silent is noticed after this time.
    Duration wait = std::chrono::seconds(5);
    /// Pause after a read that failed, and how long it grows while reads go on failing.
    Duration retry = std::chrono::milliseconds(100);
    Duration longestRetry = std::chrono::seconds(1);
    /// Random peers that hear of a new version at once.
    std::uint32_t offerFanout = 3;
    /// Time in which a daemon that hears of a newer version usually gets it from the log itself.
    Duration offerPatience = std::chrono::milliseconds(150);
    /// How often a random peer hears which version is in force here.
    Duration offerInterval = std::chrono::milliseconds(500);
};

/// Follows a configuration that stands as one document in a keyed stream of the platform, and
/// exchanges it with other daemons, so that one which the platform turns away follows too.
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
    void takePage(const KeyedPage &page);
    void onReadFailed(const Error &error);
    void onReadDone();
    void adopt(const std::string &document, const char *source);
    void handle(const DaemonId &from, const DocumentOffer &offer);
    void handle(const DaemonId &from, const DocumentRequest &request);
    void handle(const DaemonId &from, const DocumentPush &push);
    void requestFrom(const DaemonId &peer);
    void askRandomPeer();
    void offerToRandomPeers(std::uint32_t count);
    void offerAgain();
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
    TimerId m_patienceTimer;
    TimerId m_offerTimer;
};

} // namespace ivyspar
