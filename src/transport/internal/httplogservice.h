#pragma once

#include <list>

#include "transport/logservicefactory.h"

namespace ivyspar {

class HttpLogService : public ILogService
{
public:
    HttpLogService(LogServiceSettings settings, IHttpClient &client);

    RetVal<LogOffset> append(const StreamName &stream, const std::string &payload) override;
    RetVal<LogPage> read(const StreamName &stream, LogOffset from, std::uint32_t maxRecords,
                         Duration wait) override;
    void cancelReads() override;

private:
    HttpRequest makeRequest(std::string method, std::string target) const;
    const Endpoint &endpoint(std::size_t index) const;
    void preferEndpoint(std::size_t index);

    LogServiceSettings m_settings;
    IHttpClient &m_client;
    /// Index of the endpoint to try first. Other fibers may change it during an exchange.
    std::size_t m_preferred = 0;
    std::list<HttpCancellationPtr> m_reads;
};

} // namespace ivyspar
