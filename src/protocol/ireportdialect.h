#pragma once

#include "coordination/upstreams/upstreamreport.h"
#include "state/http.h"
#include "state/result.h"

namespace ivyspar {

/// Decodes the reports that upstreams send to the daemon on their host. Makes no decisions.
class IReportDialect
{
public:
    virtual ~IReportDialect() = default;

    /// Whether the request is a report. All other requests at the same listener are calls.
    virtual bool isReport(const HttpRequest &request) const = 0;
    /// Fails with an error for the upstream's developer.
    virtual RetVal<UpstreamReport> read(const HttpRequest &request) const = 0;
    /// Response to a report; `result` is success or the error of `read`.
    virtual HttpResponse acknowledge(const Ret &result) const = 0;
};

} // namespace ivyspar
