#pragma once

#include <unordered_map>

#include "app/internal/gate/announcement.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"

namespace ivyspar {

/// Tells servers that have ended from those that broke off an answer and work on: a server that has
/// ended accepts no connection any more. Traffic thread only.
class CrashWatch
{
public:
    /// Both outlive the watch.
    CrashWatch(IEventLoop &loop, IHttpClient &client);

    /// The server has ended a connection in the middle of an exchange, now. Suspends the calling
    /// fiber until it is known whether that was its own end.
    bool hasEnded(const Announcement &server);
    /// That this run of the server has ended was found out before.
    bool isKnownEnded(const Announcement &server) const;
    /// The server has announced itself: one whose runs have no names is back.
    void onAnnounced(const Announcement &server);

private:
    struct Seen
    {
        UpstreamId instance;
        bool hasEnded = false;
        /// When the server was last asked for a connection and gave one.
        TimePoint acceptedAt;
    };

    Seen &seenOf(const Announcement &server);

    IEventLoop &m_loop;
    IHttpClient &m_client;
    std::unordered_map<ServiceName, Seen> m_seen;
};

} // namespace ivyspar
