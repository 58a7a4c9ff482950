#pragma once

#include <unordered_map>

#include "app/internal/gate/announcement.h"
#include "state/irandom.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"

namespace ivyspar {

enum class ServerState {
    Running, ///< The server accepts connections.
    Ended, ///< The end of this run was detected before.
    EndDetected, ///< This check was the first to find that the run has ended.
};

/// Tells servers that have ended from those that broke off an answer and work on: a server that has
/// ended accepts no connection any more. Traffic thread only.
class CrashDetector
{
public:
    /// All outlive the watch.
    CrashDetector(IEventLoop &loop, IHttpClient &client, IRandom &random);

    /// The server has ended a connection in the middle of an exchange, now. Suspends the calling
    /// fiber until it is known whether that was its own end.
    ServerState check(const Announcement &server);
    /// That this run of the server has ended was found out before.
    bool isKnownEnded(const Announcement &server) const;
    /// A name of the server's run, unique over all hosts: its own, or a random one.
    UpstreamId runOf(const Announcement &server);
    /// The server has announced itself: one whose runs have no names is back.
    void onAnnounced(const Announcement &server);

private:
    struct KnownRun
    {
        UpstreamId instance;
        UpstreamId run;
        bool hasEnded = false;
        /// When the server was last asked for a connection and gave one.
        TimePoint acceptedAt;
    };

    KnownRun &knownRunOf(const Announcement &server);

    IEventLoop &m_loop;
    IHttpClient &m_client;
    IRandom &m_random;
    std::unordered_map<ServiceName, KnownRun> m_runs;
};

} // namespace ivyspar
