#pragma once

#include <memory>

#include "state/imetrics.h"

namespace ivyspar {

std::unique_ptr<IMetrics> makeMetrics();

} // namespace ivyspar
