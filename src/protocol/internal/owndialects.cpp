#include "protocol/owndialects.h"

#include "protocol/internal/ownreportdialect.h"
#include "protocol/internal/ownrequestdialect.h"
#include "protocol/internal/ownupstreamdialect.h"

namespace ivyspar {

std::unique_ptr<IRequestDialect> makeOwnRequestDialect()
{
    return std::make_unique<OwnRequestDialect>();
}

std::unique_ptr<IUpstreamDialect> makeOwnUpstreamDialect()
{
    return std::make_unique<OwnUpstreamDialect>();
}

std::unique_ptr<IReportDialect> makeOwnReportDialect()
{
    return std::make_unique<OwnReportDialect>();
}

} // namespace ivyspar
