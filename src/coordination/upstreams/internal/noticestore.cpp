#include "coordination/upstreams/noticestore.h"

namespace ivyspar {

namespace {

/// Bounds the memory if hosts come and go for months.
constexpr std::size_t MAX_NOTICES = 4096;

} // namespace

void NoticeStore::store(const DaemonId &daemon, const ServiceName &service,
                        const UpstreamNotice &notice)
{
    const bool isTrivial = notice.run.value().empty();
    if (isTrivial && m_notices.empty()) {
        return;
    }
    const auto key = std::make_pair(daemon, service);
    if (isTrivial) {
        m_notices.erase(key);
        return;
    }
    if (m_notices.size() >= MAX_NOTICES && m_notices.count(key) == 0) {
        m_notices.erase(m_notices.begin());
    }
    m_notices[key] = notice;
}

std::optional<UpstreamNotice> NoticeStore::find(const DaemonId &daemon,
                                                const ServiceName &service) const
{
    if (m_notices.empty()) {
        return std::nullopt;
    }
    const auto found = m_notices.find(std::make_pair(daemon, service));
    return found == m_notices.end() ? std::nullopt : std::make_optional(found->second);
}

} // namespace ivyspar
