#include "app/internal/gate/crashreporter.h"

#include "state/fingerprint.h"

namespace ivyspar {

namespace {

/// A caller may leave, and the server crash under its request all the same, within this time.
constexpr Duration ABANDONED_TIME = std::chrono::seconds(1);
constexpr std::size_t MOST_ABANDONED = 64;

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
    , m_watch(loop, client, random)
{
}

void CrashReporter::onAnnounced(const Announcement &server)
{
    m_watch.onAnnounced(server);
    m_quarantine.recordServer(kindOf(server));
}

bool CrashReporter::hasCrashed(const Announcement &server, const HttpResult &result,
                               bool isEndPlanned)
{
    const bool isCut = !result && result.error().hasConnectionEnded
        && result.error().stage == HttpFailureStage::MaybeSent;
    if (!isCut || isEndPlanned) {
        return false;
    }
    const ServerEnd end = m_watch.check(server);
    if (end == ServerEnd::FoundOut) {
        m_recorder.recordCrash(server);
        tellAbandoned(server);
    }
    return end != ServerEnd::None;
}

void CrashReporter::onEnd(const Announcement &server, const AccountName &account,
                          const HttpRequest &request, const RunEnd &end, const SuspectRun &run)
{
    if (end.verdict.reason == Reason::ServerCrashed) {
        tell(server, fingerprintOf(account, request), run);
    } else if (isAbandoned(end.verdict)) {
        remember(server, fingerprintOf(account, request));
    } else if (end.verdict.outcome == Outcome::Answered && m_quarantine.hasSuspects()) {
        m_quarantine.recordCompletion(fingerprintOf(account, request), kindOf(server));
    }
}

void CrashReporter::remember(const Announcement &server, Fingerprint fingerprint)
{
    if (m_abandoned.size() >= MOST_ABANDONED) {
        m_abandoned.pop_front();
    }
    m_abandoned.push_back({ m_watch.runOf(server), std::move(fingerprint), m_loop.now() });
}

void CrashReporter::tellAbandoned(const Announcement &server)
{
    const UpstreamId run = m_watch.runOf(server);
    for (const Abandoned &abandoned : m_abandoned) {
        if (abandoned.run == run && m_loop.now() - abandoned.at < ABANDONED_TIME) {
            tell(server, abandoned.fingerprint, {});
        }
    }
    m_abandoned.clear();
}

void CrashReporter::tell(const Announcement &server, const Fingerprint &fingerprint,
                         const SuspectRun &run)
{
    m_quarantine.recordCrash(
        fingerprint,
        Crash{ m_watch.runOf(server), kindOf(server), m_loop.now(), run.isAlone, run.isTrial });
}

} // namespace ivyspar
