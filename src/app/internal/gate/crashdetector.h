#pragma once

#include <deque>
#include <optional>
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

/// A request that was sent to a server.
struct ServerSend
{
    /// As it was announced when the request was sent.
    const Announcement &server;
    TimePoint at;
};

/// Distinguishes servers that have ended from those that cut off an answer and continue to run: a
/// server that has ended accepts no connections. Traffic thread only.
///
/// A server may start again under the id, and even the start time, of an earlier run, and receive
/// requests before it is announced. What was sent after the end of a run was detected belongs to
/// the next run, whatever the announcement says.
class CrashDetector
{
public:
    /// All references outlive the detector.
    CrashDetector(IEventLoop &loop, IHttpClient &client, IRandom &random);

    /// Time from the end of a connection to the check of the listener: a process that ends may
    /// close its connections before its listener, …
    static constexpr Duration USUAL_CLOSE_TIME = std::chrono::milliseconds(5);
    /// … on a busy host much earlier.
    static constexpr Duration LONG_CLOSE_TIME = std::chrono::milliseconds(50);

    /// To be called as soon as the server has closed a connection during an exchange. Suspends the
    /// calling fiber until it is known whether the server has ended.
    ServerState check(const ServerSend &send, Duration closeTime = USUAL_CLOSE_TIME);
    /// Returns whether an earlier check found that the run that received the request has ended.
    bool isKnownEnded(const ServerSend &send);
    /// Returns the name of the run that received the request.
    UpstreamRunName runOf(const ServerSend &send);
    /// Called when the server has announced itself. If runs report no start time and an earlier one
    /// has ended, this is a new one.
    void onAnnounced(const Announcement &server);

private:
    struct KnownRun
    {
        Announcement server;
        UpstreamRunName name;
        /// Set once the end was detected: requests that were sent at this time or later belong to
        /// the next run.
        std::optional<TimePoint> nextRunFrom;
        /// Start of the last connection attempt that the server accepted.
        TimePoint acceptedAt;
    };
    using KnownRuns = std::deque<KnownRun>;

    KnownRun &knownRunOf(const ServerSend &send);
    KnownRun &addRun(KnownRuns &runs, const Announcement &server, bool isAnnounced);
    UpstreamRunName makeName(const UpstreamRun &run, bool isAnnounced);

    IEventLoop &m_loop;
    IHttpClient &m_client;
    IRandom &m_random;
    /// The last runs of each service's server, the oldest first.
    std::unordered_map<ServiceName, KnownRuns> m_runs;
};

} // namespace ivyspar
