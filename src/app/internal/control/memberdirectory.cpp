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
    const RetVal<KeyedPage> page = m_next ? m_log.read(m_settings.stream, *m_next, m_settings.wait)
                                          : m_log.newest(m_settings.stream);
    if (!page && page.error().code == ErrorCode::NotFound) {
        m_next.reset();
        return {};
    }
    if (!page) {
        return tl::unexpected<Error>(page.error());
    }
    takePage(*page);
    return m_isEntered ? Ret() : enterSelf();
}

void MemberDirectory::takePage(const KeyedPage &page)
{
    m_next = page.next;
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
