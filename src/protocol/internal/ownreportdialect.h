#pragma once

#include "protocol/ireportdialect.h"

namespace ivyspar {

/// Announcements of upstreams; docs/INTERFACES.md describes them.
class OwnReportDialect : public IReportDialect
{
public:
    bool isReport(const HttpRequest &request) const override;
    RetVal<UpstreamReport> read(const HttpRequest &request) const override;
    HttpResponse acknowledge(const Ret &result) const override;
};

} // namespace ivyspar
