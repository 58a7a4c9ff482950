#pragma once

#include <deque>

#include "app/internal/gate/crashdetector.h"
#include "app/internal/gate/gaterecorder.h"
#include "app/internal/gate/runend.h"
#include "app/internal/gate/suspectgate.h"
#include "app/internal/quarantine/iquarantine.h"

namespace ivyspar {

/// Finds out which runs ended because their server crashed, and tells the quarantine what was under
/// way there and what has completed. Traffic thread only.
class CrashReporter
{
public:
    /// All outlive the reporter.
    CrashReporter(IEventLoop &loop, IHttpClient &client, IRandom &random, IQuarantine &quarantine,
                  GateRecorder &recorder);

    /// The server has announced itself.
    void onAnnounced(const Announcement &server);
    /// Whether the exchange ended with its server. Suspends the calling fiber until that is known.
    /// `isEndPlanned`: the server has said that it ends.
    bool hasCrashed(const Announcement &server, const HttpResult &result, bool isEndPlanned);
    /// A run of that request of the account ended so.
    void onEnd(const Announcement &server, const AccountName &account, const HttpRequest &request,
               const RunEnd &end, const SuspectRun &run);

private:
    /// A run that was given up, and may go on at its server.
    struct AbandonedRun
    {
        UpstreamId run;
        Fingerprint fingerprint;
        TimePoint at;
    };

    void rememberAbandoned(const Announcement &server, Fingerprint fingerprint);
    void reportAbandoned(const Announcement &server);
    void reportCrash(const Announcement &server, const Fingerprint &fingerprint,
                     const SuspectRun &run);

    IEventLoop &m_loop;
    IQuarantine &m_quarantine;
    GateRecorder &m_recorder;
    CrashDetector m_detector;
    std::deque<AbandonedRun> m_abandoned;
};

} // namespace ivyspar
