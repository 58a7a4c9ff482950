#pragma once

#include <optional>
#include <vector>

#include "coordination/balance/domainshares.h"

namespace ivyspar {

/// Returns the shares by which a failure domain divides its calls so that as few as possible cross
/// and no domain is used more than another without need. Nothing if no domain is short, if only one
/// has servers, or if nothing is known of `own`. `targetUtilization`: see `DomainBalanceOptions`.
std::optional<std::vector<DomainShare>> targetShares(const DomainName &own,
                                                     const std::vector<DomainWork> &domains,
                                                     double targetUtilization);

} // namespace ivyspar
