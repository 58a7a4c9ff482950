#include "app/internal/gate/crashwatch.h"

namespace ivyspar {

namespace {

/// A process that ends may close its connections before it closes its listener.
constexpr Duration SETTLE_TIME = std::chrono::milliseconds(5);

} // namespace

CrashWatch::CrashWatch(IEventLoop &loop, IHttpClient &client)
    : m_loop(loop)
    , m_client(client)
{
}

bool CrashWatch::hasEnded(const Announcement &server)
{
    if (isKnownEnded(server)) {
        return true;
    }
    const TimePoint endedAt = m_loop.now();
    m_loop.sleepFor(SETTLE_TIME);
    if (isKnownEnded(server)) {
        return true;
    }
    if (seenOf(server).acceptedAt >= endedAt) {
        return false;
    }
    const TimePoint askedAt = m_loop.now();
    const bool isListening = m_client.isListening(server.endpoint);
    Seen &seen = seenOf(server);
    if (isListening) {
        seen.acceptedAt = askedAt;
        return false;
    }
    seen.hasEnded = true;
    return true;
}

bool CrashWatch::isKnownEnded(const Announcement &server) const
{
    const auto found = m_seen.find(server.info.service);
    return found != m_seen.end() && found->second.instance == server.instance
        && found->second.hasEnded;
}

void CrashWatch::onAnnounced(const Announcement &server)
{
    if (server.instance.value().empty()) {
        m_seen.erase(server.info.service);
    }
}

CrashWatch::Seen &CrashWatch::seenOf(const Announcement &server)
{
    Seen &seen = m_seen[server.info.service];
    if (seen.instance != server.instance) {
        seen = Seen{};
        seen.instance = server.instance;
    }
    return seen;
}

} // namespace ivyspar
