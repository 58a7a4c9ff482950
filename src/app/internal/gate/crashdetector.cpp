#include "app/internal/gate/crashdetector.h"

#include <utility>

#include "state/idvalue.h"

namespace ivyspar {

namespace {

/// Time between the end of a connection and the check of the listener: a process that ends may
/// close its connections before its listener.
constexpr Duration LISTENER_CLOSE_DELAY = std::chrono::milliseconds(5);

} // namespace

CrashDetector::CrashDetector(IEventLoop &loop, IHttpClient &client, IRandom &random)
    : m_loop(loop)
    , m_client(client)
    , m_random(random)
{
}

ServerState CrashDetector::check(const Announcement &server)
{
    const TimePoint endedAt = m_loop.now();
    if (!isKnownEnded(server)) {
        m_loop.sleepFor(LISTENER_CLOSE_DELAY);
    }
    if (isKnownEnded(server)) {
        return ServerState::Ended;
    }
    if (knownRunOf(server).acceptedAt >= endedAt) {
        return ServerState::Running;
    }
    const TimePoint askedAt = m_loop.now();
    const bool isListening = m_client.isListening(server.endpoint);
    KnownRun &known = knownRunOf(server);
    if (isListening) {
        known.acceptedAt = askedAt;
        return ServerState::Running;
    }
    return std::exchange(known.hasEnded, true) ? ServerState::Ended : ServerState::EndDetected;
}

bool CrashDetector::isKnownEnded(const Announcement &server) const
{
    const auto found = m_runs.find(server.info.service);
    return found != m_runs.end() && found->second.instance == server.instance
        && found->second.hasEnded;
}

UpstreamId CrashDetector::runOf(const Announcement &server)
{
    return knownRunOf(server).run;
}

void CrashDetector::onAnnounced(const Announcement &server)
{
    const auto found = m_runs.find(server.info.service);
    if (found != m_runs.end() && server.instance.value().empty() && found->second.hasEnded) {
        m_runs.erase(found);
    }
}

CrashDetector::KnownRun &CrashDetector::knownRunOf(const Announcement &server)
{
    KnownRun &known = m_runs[server.info.service];
    if (known.run.value().empty() || known.instance != server.instance) {
        known = KnownRun{};
        known.instance = server.instance;
        const bool hasName = !server.instance.value().empty();
        known.run = hasName ? server.instance : UpstreamId(toHex(m_random.next()));
    }
    return known;
}

} // namespace ivyspar
