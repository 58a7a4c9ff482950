#pragma once

#include <map>
#include <optional>
#include <utility>

#include "state/ids.h"
#include "state/upstreamnotice.h"

namespace ivyspar {

/// The notices that an entry daemon has learned, by server. They are kept while a server's daemon
/// is away, as that daemon may return without knowing them. Plain object.
class NoticeStore
{
public:
    /// Replaces what is known of the server; forgets it if there is nothing to heed.
    void store(const DaemonId &daemon, const ServiceName &service, const UpstreamNotice &notice);
    /// Nothing if there is nothing to heed.
    std::optional<UpstreamNotice> find(const DaemonId &daemon, const ServiceName &service) const;

private:
    std::map<std::pair<DaemonId, ServiceName>, UpstreamNotice> m_notices;
};

} // namespace ivyspar
