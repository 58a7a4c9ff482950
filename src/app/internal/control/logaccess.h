#pragma once

#include <memory>

#include "app/settings.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"
#include "transport/ilogservice.h"

namespace ivyspar {

/// A thread's own way to the platform's log.
std::unique_ptr<IHttpClient> makeLogClient(IEventLoop &loop);
std::unique_ptr<ILogService> makeLog(const DaemonSettings &settings, IHttpClient &client);

} // namespace ivyspar
