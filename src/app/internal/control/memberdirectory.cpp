#include "app/internal/control/memberdirectory.h"

#include <algorithm>
#include <utility>

#include "coordination/configuration/internal/pollschedule.h"

namespace ivyspar {

namespace {

/// Format: endpoint, space, failure domain.
std::string formatSeed(const MembershipSeed &seed)
{
    return seed.endpoint.text() + ' ' + seed.domain.value();
}

/// The failure domain may be missing.
RetVal<MembershipSeed> parseSeed(const std::string &text)
{
    const std::size_t space = text.find(' ');
    const RetVal<Endpoint> endpoint = Endpoint::parse(text.substr(0, space));
    if (!endpoint) {
        return tl::unexpected<Error>(endpoint.error());
    }
    if (endpoint->port == 0) {
        return makeError(ErrorCode::InvalidArgument, '"' + text + "\" has port 0");
    }
    const std::string domain = space == std::string::npos ? "" : text.substr(space + 1);
    return MembershipSeed{ *endpoint, DomainName(domain) };
}

} // namespace

MemberDirectory::MemberDirectory(MemberDirectorySettings settings, IEventLoop &loop, IKeyedLog &log,
                                 IRandom &random, Observers observers, OnSeed onSeed,
                                 OnDirectorySize onDirectorySize, CountDaemons countDaemons)
    : m_settings(std::move(settings))
    , m_log(log)
    , m_random(random)
    , m_observers(observers)
    , m_onSeed(std::move(onSeed))
    , m_onDirectorySize(std::move(onDirectorySize))
    , m_countDaemons(std::move(countDaemons))
    , m_fiber(loop)
    , m_cursor(log, m_settings.stream)
{
}

void MemberDirectory::start()
{
    m_fiber.start([this] { follow(); });
}

void MemberDirectory::stop()
{
    m_fiber.stop([this] { m_log.cancel(); });
}

void MemberDirectory::follow()
{
    Duration pause = m_settings.retryInterval;
    while (!m_fiber.isStopped()) {
        const Ret done = step();
        if (done) {
            pause = m_settings.retryInterval;
            m_fiber.pause(
                drawSharedReadPause(m_settings.meanReadInterval, m_countDaemons(), m_random));
            continue;
        }
        m_observers.log.debug("member directory: " + done.error().text);
        m_fiber.pause(pause);
        pause = std::min(2 * pause, m_settings.maxRetryInterval);
    }
}

/// Reads first: a daemon that restarts at the same endpoint need not write. Reads again after
/// writing: of two daemons that start together, the one that registers later finds the other.
Ret MemberDirectory::step()
{
    Ret read = readNewRecords();
    if (!read || m_isRegistered) {
        return read;
    }
    Ret registered = registerSelf();
    return registered ? readNewRecords() : registered;
}

Ret MemberDirectory::readNewRecords()
{
    const auto page = m_cursor.read(Duration::zero());
    if (!page) {
        return tl::unexpected<Error>(page.error());
    }
    applyPage(*page);
    return {};
}

/// Registers again if the log was restored from an older copy that lacks this daemon's record.
void MemberDirectory::applyPage(const KeyedPage &page)
{
    if (m_cursor.isNewestPerKey()) {
        m_isRegistered = false;
    }
    for (const KeyedRecord &record : page.records) {
        const RetVal<MembershipSeed> seed = parseSeed(record.value);
        if (!seed) {
            continue;
        }
        m_listedDaemons.insert(record.key);
        if (record.key == m_settings.self.value()) {
            m_isRegistered = record.value == formatSeed(m_settings.selfSeed);
            continue;
        }
        m_onSeed(*seed);
    }
    m_onDirectorySize(m_listedDaemons.size());
}

Ret MemberDirectory::registerSelf()
{
    Ret written = m_log.put(m_settings.stream,
                            { { m_settings.self.value(), formatSeed(m_settings.selfSeed) } });
    if (written) {
        m_isRegistered = true;
    }
    return written;
}

} // namespace ivyspar
