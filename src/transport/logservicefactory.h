#pragma once

#include <memory>
#include <string>
#include <vector>

#include "transport/ihttpclient.h"
#include "transport/ilogservice.h"

namespace ivyspar {

struct LogServiceSettings
{
    /// Each endpoint serves every stream; they are tried in turn.
    std::vector<Endpoint> endpoints;
    /// Sent as `Log-Client` to identify this client to the platform. May be empty.
    std::string clientName;
    /// Timeout of one exchange with one endpoint, not counting the time that a read waits.
    Duration timeout = std::chrono::seconds(2);
};

/// Body size limit that the HTTP client of a log needs: pages take several MB.
constexpr std::size_t MAX_LOG_RESPONSE_BYTES = 8 * 1024 * 1024;

/// The platform's log over HTTP, as docs/STATE.md describes it. `client` must accept bodies of
/// `MAX_LOG_RESPONSE_BYTES` and outlive the service.
std::unique_ptr<ILogService> makeHttpLogService(const LogServiceSettings &settings,
                                                IHttpClient &client);

} // namespace ivyspar
