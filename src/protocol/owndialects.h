#pragma once

#include <memory>

#include "protocol/ireportdialect.h"
#include "protocol/irequestdialect.h"
#include "protocol/iupstreamdialect.h"

namespace ivyspar {

/// The product's own interface, docs/INTERFACES.md.
std::unique_ptr<IRequestDialect> makeOwnRequestDialect();
std::unique_ptr<IUpstreamDialect> makeOwnUpstreamDialect();
std::unique_ptr<IReportDialect> makeOwnReportDialect();

} // namespace ivyspar
