#pragma once

#include <string>
#include <vector>

#include "standins/load/loadgenerator.h"

namespace ivyspar::lab {

/// The mix of requests that callers of a deployment send.
std::vector<LoadKind> makeDeploymentKinds(const std::string &deployment);

} // namespace ivyspar::lab
