#include "app/internal/control/logaccess.h"

#include "transport/logservicefactory.h"
#include "transport/transportfactory.h"

namespace ivyspar {

std::unique_ptr<IHttpClient> makeLogClient(IEventLoop &loop)
{
    HttpClientLimits limits;
    limits.bodyBytes = MAX_LOG_RESPONSE_BYTES;
    return makeHttpClient(loop, limits);
}

std::unique_ptr<ILogService> makeLog(const DaemonSettings &settings, IHttpClient &client)
{
    LogServiceSettings log;
    log.endpoints = settings.logEndpoints;
    log.clientName = settings.id.value();
    return makeHttpLogService(log, client);
}

} // namespace ivyspar
