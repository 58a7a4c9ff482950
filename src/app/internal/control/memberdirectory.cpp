#include "app/internal/control/memberdirectory.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

MemberDirectory::MemberDirectory(MemberDirectorySettings settings, IEventLoop &loop, IKeyedLog &log,
                                 Observers observers, OnEndpoint onEndpoint)
    : m_settings(std::move(settings))
    , m_log(log)
    , m_observers(observers)
    , m_onEndpoint(std::move(onEndpoint))
    , m_fiber(loop)
    , m_cursor(log, m_settings.stream, m_settings.wait)
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
    Duration pause = m_settings.retry;
    while (!m_fiber.isStopped()) {
        const Ret done = step();
        if (done) {
            pause = m_settings.retry;
            continue;
        }
        m_observers.log.debug("member directory: " + done.error().text);
        m_fiber.pause(pause);
        pause = std::min(2 * pause, m_settings.longestRetry);
    }
}

/// Reads first: a daemon that starts again at the same place need not write.
Ret MemberDirectory::step()
{
    const auto page = m_cursor.read();
    if (!page) {
        return tl::unexpected<Error>(page.error());
    }
    if (!*page) {
        return {};
    }
    takePage(**page);
    return m_isEntered ? Ret() : enterSelf();
}

void MemberDirectory::takePage(const KeyedPage &page)
{
    for (const KeyedRecord &record : page.records) {
        const RetVal<Endpoint> endpoint = Endpoint::parse(record.value);
        if (!endpoint) {
            continue;
        }
        if (record.key == m_settings.self.value()) {
            m_isEntered = *endpoint == m_settings.endpoint;
            continue;
        }
        m_onEndpoint(*endpoint);
    }
}

Ret MemberDirectory::enterSelf()
{
    Ret written = m_log.put(m_settings.stream,
                            KeyedRecord{ m_settings.self.value(), m_settings.endpoint.text() });
    if (written) {
        m_isEntered = true;
    }
    return written;
}

} // namespace ivyspar
