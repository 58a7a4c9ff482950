#pragma once

#include "coordination/upstreams/upstreamreport.h"
#include "state/http.h"
#include "state/result.h"

namespace ivyspar {

/// How the upstream of a host reports itself to the daemon. Translates, decides nothing.
class IReportDialect
{
public:
    virtual ~IReportDialect() = default;

    /// Whether the request is a report; others at the same listener are calls.
    virtual bool isReport(const HttpRequest &request) const = 0;
    virtual RetVal<UpstreamReport> read(const HttpRequest &request) const = 0;
    virtual HttpResponse acknowledge(const Ret &result) const = 0;
};

} // namespace ivyspar
