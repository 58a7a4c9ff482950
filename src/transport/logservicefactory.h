#pragma once

#include <memory>
#include <string>
#include <vector>

#include "transport/ihttpclient.h"
#include "transport/ilogservice.h"

namespace ivyspar {

struct LogServiceSettings
{
    /// Any of them serves every stream; they are tried in turn.
    std::vector<Endpoint> endpoints;
    /// Sent as `Log-Client`, so that the platform can tell its clients apart. May be empty.
    std::string clientName;
    /// For one exchange with one endpoint, not counting the time that a read waits.
    Duration timeout = std::chrono::seconds(2);
};

/// Answers of a log that the HTTP client must take: pages of some MB.
constexpr std::size_t MAX_LOG_RESPONSE_BYTES = 8 * 1024 * 1024;

/// The platform's log over HTTP, as docs/STATE.md describes it. `client` must accept bodies of
/// `MAX_LOG_RESPONSE_BYTES` and outlive the service.
std::unique_ptr<ILogService> makeHttpLogService(const LogServiceSettings &settings,
                                                IHttpClient &client);

} // namespace ivyspar
