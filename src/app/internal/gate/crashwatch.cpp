#include "app/internal/gate/crashwatch.h"

#include <utility>

#include "state/idvalue.h"

namespace ivyspar {

namespace {

/// A process that ends may close its connections before it closes its listener.
constexpr Duration SETTLE_TIME = std::chrono::milliseconds(5);

} // namespace

CrashWatch::CrashWatch(IEventLoop &loop, IHttpClient &client, IRandom &random)
    : m_loop(loop)
    , m_client(client)
    , m_random(random)
{
}

ServerEnd CrashWatch::check(const Announcement &server)
{
    const TimePoint endedAt = m_loop.now();
    if (!isKnownEnded(server)) {
        m_loop.sleepFor(SETTLE_TIME);
    }
    if (isKnownEnded(server)) {
        return ServerEnd::Ended;
    }
    if (seenOf(server).acceptedAt >= endedAt) {
        return ServerEnd::None;
    }
    const TimePoint askedAt = m_loop.now();
    const bool isListening = m_client.isListening(server.endpoint);
    Seen &seen = seenOf(server);
    if (isListening) {
        seen.acceptedAt = askedAt;
        return ServerEnd::None;
    }
    return std::exchange(seen.hasEnded, true) ? ServerEnd::Ended : ServerEnd::FoundOut;
}

bool CrashWatch::isKnownEnded(const Announcement &server) const
{
    const auto found = m_seen.find(server.info.service);
    return found != m_seen.end() && found->second.instance == server.instance
        && found->second.hasEnded;
}

UpstreamId CrashWatch::runOf(const Announcement &server)
{
    return seenOf(server).run;
}

void CrashWatch::onAnnounced(const Announcement &server)
{
    const auto found = m_seen.find(server.info.service);
    if (found != m_seen.end() && server.instance.value().empty() && found->second.hasEnded) {
        m_seen.erase(found);
    }
}

CrashWatch::Seen &CrashWatch::seenOf(const Announcement &server)
{
    Seen &seen = m_seen[server.info.service];
    if (seen.run.value().empty() || seen.instance != server.instance) {
        seen = Seen{};
        seen.instance = server.instance;
        const bool hasName = !server.instance.value().empty();
        seen.run = hasName ? server.instance : UpstreamId(toHex(m_random.next()));
    }
    return seen;
}

} // namespace ivyspar
