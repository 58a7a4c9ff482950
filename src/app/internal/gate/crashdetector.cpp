#include "app/internal/gate/crashdetector.h"

#include <algorithm>

#include "state/idvalue.h"

namespace ivyspar {

namespace {

/// Time for which a process that has closed its listener may keep other connections open.
constexpr Duration CONNECTION_CLOSE_TIME = std::chrono::milliseconds(5);
/// Exchanges that end late may belong to an earlier run.
constexpr std::size_t MAX_RUNS_PER_SERVICE = 8;

} // namespace

CrashDetector::CrashDetector(IEventLoop &loop, IHttpClient &client, IRandom &random)
    : m_loop(loop)
    , m_client(client)
    , m_random(random)
{
}

ServerState CrashDetector::check(const ServerSend &send, Duration closeTime)
{
    // A server that accepts connections after this time has not ended.
    const TimePoint aliveFrom = m_loop.now() + closeTime - USUAL_CLOSE_TIME;
    if (!isKnownEnded(send)) {
        m_loop.sleepFor(closeTime);
    }
    if (isKnownEnded(send)) {
        return ServerState::Ended;
    }
    if (knownRunOf(send).acceptedAt >= aliveFrom) {
        return ServerState::Running;
    }
    const TimePoint askedAt = m_loop.now();
    const bool isListening = m_client.isListening(send.server.endpoint);
    KnownRun &known = knownRunOf(send);
    if (isListening) {
        known.acceptedAt = askedAt;
        return ServerState::Running;
    }
    if (known.nextRunFrom) {
        return ServerState::Ended;
    }
    known.nextRunFrom = m_loop.now() + CONNECTION_CLOSE_TIME;
    return ServerState::EndDetected;
}

bool CrashDetector::isKnownEnded(const ServerSend &send)
{
    return knownRunOf(send).nextRunFrom.has_value();
}

UpstreamRunName CrashDetector::runOf(const ServerSend &send)
{
    return knownRunOf(send).name;
}

void CrashDetector::onAnnounced(const Announcement &server)
{
    const auto found = m_runs.find(server.info.service);
    if (found == m_runs.end() || server.run.start != UpstreamStart()) {
        return;
    }
    for (KnownRun &known : found->second) {
        if (known.nextRunFrom && isSameRun(known.server, server)) {
            known.nextRunFrom = std::min(*known.nextRunFrom, m_loop.now());
        }
    }
}

CrashDetector::KnownRun &CrashDetector::knownRunOf(const ServerSend &send)
{
    KnownRuns &runs = m_runs[send.server.info.service];
    bool isAnnounced = true;
    for (KnownRun &known : runs) {
        if (!isSameRun(known.server, send.server)) {
            continue;
        }
        if (!known.nextRunFrom || send.at < *known.nextRunFrom) {
            return known;
        }
        isAnnounced = false;
    }
    return addRun(runs, send.server, isAnnounced);
}

/// `isAnnounced` is false for a run that follows one with the same announcement.
CrashDetector::KnownRun &CrashDetector::addRun(KnownRuns &runs, const Announcement &server,
                                               bool isAnnounced)
{
    if (runs.size() >= MAX_RUNS_PER_SERVICE) {
        runs.pop_front();
    }
    KnownRun added;
    added.server = server;
    added.name = makeName(server.run, isAnnounced);
    runs.push_back(std::move(added));
    return runs.back();
}

/// What the server reports is unique only together with its start time.
UpstreamRunName CrashDetector::makeName(const UpstreamRun &run, bool isAnnounced)
{
    if (!run.isNamed()) {
        return UpstreamRunName(toHex(m_random.next()));
    }
    const bool isUnique = isAnnounced && run.start != UpstreamStart();
    const std::string suffix = isUnique ? std::string() : '+' + toHex(m_random.next());
    return UpstreamRunName(nameOf(run).value() + suffix);
}

} // namespace ivyspar
