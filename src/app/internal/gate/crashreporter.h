#pragma once

#include <deque>

#include "app/internal/gate/crashdetector.h"
#include "app/internal/gate/gaterecorder.h"
#include "app/internal/gate/runresult.h"
#include "app/internal/gate/suspectgate.h"
#include "app/internal/quarantine/iquarantine.h"

namespace ivyspar {

/// Detects runs that ended because their server crashed, and reports to the quarantine which
/// requests were running there and which have completed. Traffic thread only.
class CrashReporter
{
public:
    /// All references outlive the reporter.
    CrashReporter(IEventLoop &loop, IHttpClient &client, IRandom &random, IQuarantine &quarantine,
                  GateRecorder &recorder);

    /// Called when the server has announced itself.
    void onAnnounced(const Announcement &server);
    /// Returns whether the exchange ended because its server crashed. A response without a length
    /// that ended so is not whole. Suspends the calling fiber until that is known. `isEndPlanned`:
    /// the server has announced its shutdown.
    bool hasCrashed(const ServerSend &send, const HttpResult &result, bool isEndPlanned);
    /// Called with the end of a run of the request that the account sent.
    void onEnd(const ServerSend &send, const AccountName &account, const HttpRequest &request,
               const RunResult &result, const SuspectRun &run);

private:
    /// A run that was cancelled or timed out here and may continue at its server.
    struct AbandonedRun
    {
        UpstreamRunName run;
        Fingerprint fingerprint;
        TimePoint at;
    };

    void rememberAbandoned(const ServerSend &send, Fingerprint fingerprint);
    void reportAbandoned(const ServerSend &send);
    void reportCrash(const ServerSend &send, const Fingerprint &fingerprint, const SuspectRun &run);

    IEventLoop &m_loop;
    IQuarantine &m_quarantine;
    GateRecorder &m_recorder;
    CrashDetector m_detector;
    std::deque<AbandonedRun> m_abandoned;
};

} // namespace ivyspar
