#pragma once

#include <memory>

#include "app/settings.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"
#include "transport/ilogservice.h"

namespace ivyspar {

/// Creates the HTTP client of a thread for the platform's log.
std::unique_ptr<IHttpClient> makeLogClient(IEventLoop &loop);
/// Creates access to the platform's log; `client` must outlive it.
std::unique_ptr<ILogService> makeLog(const DaemonSettings &settings, IHttpClient &client);

} // namespace ivyspar
