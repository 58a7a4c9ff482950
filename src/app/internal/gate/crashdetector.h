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

/// Distinguishes servers that have ended from those that cut off an answer and continue to run: a
/// server that has ended accepts no connections. Traffic thread only.
class CrashDetector
{
public:
    /// All references outlive the detector.
    CrashDetector(IEventLoop &loop, IHttpClient &client, IRandom &random);

    /// To be called as soon as the server has closed a connection during an exchange. Suspends the
    /// calling fiber until it is known whether the server has ended.
    ServerState check(const Announcement &server);
    /// Returns whether an earlier check found that this run of the server has ended.
    bool isKnownEnded(const Announcement &server) const;
    /// Returns an id of the server's run that is unique across all hosts: the one that the server
    /// reported, or a random one.
    UpstreamId runOf(const Announcement &server);
    /// Called when the server has announced itself. If it reports no run id, the end of its earlier
    /// run is forgotten, as this may be a new one.
    void onAnnounced(const Announcement &server);

private:
    struct KnownRun
    {
        UpstreamId instance;
        UpstreamId run;
        bool hasEnded = false;
        /// Start of the last connection attempt that the server accepted.
        TimePoint acceptedAt;
    };

    KnownRun &knownRunOf(const Announcement &server);

    IEventLoop &m_loop;
    IHttpClient &m_client;
    IRandom &m_random;
    std::unordered_map<ServiceName, KnownRun> m_runs;
};

} // namespace ivyspar
