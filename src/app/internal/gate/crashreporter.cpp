#include "app/internal/gate/crashreporter.h"

#include "state/fingerprint.h"

namespace ivyspar {

namespace {

/// A run that ended here by a cancel or timeout counts as running at its server for this time: the
/// request may still crash the server.
constexpr Duration ABANDONED_RUN_RETENTION = std::chrono::seconds(1);
constexpr std::size_t MAX_ABANDONED_RUNS = 64;

bool isAbandoned(const Verdict &verdict)
{
    return verdict.outcome == Outcome::Unknown
        && (verdict.reason == Reason::Cancelled || verdict.reason == Reason::Timeout);
}

} // namespace

CrashReporter::CrashReporter(IEventLoop &loop, IHttpClient &client, IRandom &random,
                             IQuarantine &quarantine, GateRecorder &recorder)
    : m_loop(loop)
    , m_quarantine(quarantine)
    , m_recorder(recorder)
    , m_detector(loop, client, random)
{
}

void CrashReporter::onAnnounced(const Announcement &server)
{
    m_detector.onAnnounced(server);
    m_quarantine.recordServer(kindOf(server));
}

bool CrashReporter::hasCrashed(const ServerSend &send, const HttpResult &result, bool isEndPlanned)
{
    const bool isCut = !result && result.error().hasConnectionEnded
        && result.error().stage == HttpFailureStage::MaybeSent;
    const bool isEndedByClose = result && result.send.hasEndedByClose;
    if ((!isCut && !isEndedByClose) || isEndPlanned) {
        return false;
    }
    // A broken response is an error either way, but this one would be passed on as whole.
    const ServerState state = m_detector.check(
        send, isEndedByClose ? CrashDetector::LONG_CLOSE_TIME : CrashDetector::USUAL_CLOSE_TIME);
    if (state == ServerState::EndDetected) {
        m_recorder.recordCrash(send.server, m_detector.runOf(send));
        reportAbandoned(send);
    }
    return state != ServerState::Running;
}

void CrashReporter::onEnd(const ServerSend &send, const AccountName &account,
                          const HttpRequest &request, const RunResult &result,
                          const SuspectRun &run)
{
    if (result.verdict.reason == Reason::ServerCrashed) {
        reportCrash(send, fingerprintOf(account, request), run);
    } else if (isAbandoned(result.verdict)) {
        rememberAbandoned(send, fingerprintOf(account, request));
    } else if (result.verdict.outcome == Outcome::Answered && m_quarantine.hasSuspects()) {
        m_quarantine.recordCompletion(fingerprintOf(account, request), kindOf(send.server));
    }
}

void CrashReporter::rememberAbandoned(const ServerSend &send, Fingerprint fingerprint)
{
    if (m_abandoned.size() >= MAX_ABANDONED_RUNS) {
        m_abandoned.pop_front();
    }
    m_abandoned.push_back({ m_detector.runOf(send), std::move(fingerprint), m_loop.now() });
}

void CrashReporter::reportAbandoned(const ServerSend &send)
{
    const UpstreamRunName run = m_detector.runOf(send);
    for (const AbandonedRun &abandoned : m_abandoned) {
        if (abandoned.run == run && m_loop.now() - abandoned.at < ABANDONED_RUN_RETENTION) {
            reportCrash(send, abandoned.fingerprint, {});
        }
    }
    m_abandoned.clear();
}

void CrashReporter::reportCrash(const ServerSend &send, const Fingerprint &fingerprint,
                                const SuspectRun &run)
{
    m_quarantine.recordCrash(fingerprint,
                             Crash{ m_detector.runOf(send), kindOf(send.server), m_loop.now(),
                                    run.wasIsolated, run.isTrial });
}

} // namespace ivyspar
