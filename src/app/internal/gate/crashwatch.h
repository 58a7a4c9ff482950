#pragma once

#include <unordered_map>

#include "app/internal/gate/announcement.h"
#include "state/irandom.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"

namespace ivyspar {

enum class ServerEnd {
    None, ///< The server works on.
    Ended,
    FoundOut, ///< It has ended, and this check was the one that found it out.
};

/// Tells servers that have ended from those that broke off an answer and work on: a server that has
/// ended accepts no connection any more. Traffic thread only.
class CrashWatch
{
public:
    /// All outlive the watch.
    CrashWatch(IEventLoop &loop, IHttpClient &client, IRandom &random);

    /// The server has ended a connection in the middle of an exchange, now. Suspends the calling
    /// fiber until it is known whether that was its own end.
    ServerEnd check(const Announcement &server);
    /// That this run of the server has ended was found out before.
    bool isKnownEnded(const Announcement &server) const;
    /// A name of the server's run, unique over all hosts: its own, or a random one.
    UpstreamId runOf(const Announcement &server);
    /// The server has announced itself: one whose runs have no names is back.
    void onAnnounced(const Announcement &server);

private:
    struct Seen
    {
        UpstreamId instance;
        UpstreamId run;
        bool hasEnded = false;
        /// When the server was last asked for a connection and gave one.
        TimePoint acceptedAt;
    };

    Seen &seenOf(const Announcement &server);

    IEventLoop &m_loop;
    IHttpClient &m_client;
    IRandom &m_random;
    std::unordered_map<ServiceName, Seen> m_seen;
};

} // namespace ivyspar
