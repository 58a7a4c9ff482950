#pragma once

#include <memory>

#include "state/irandom.h"

namespace ivyspar {

/// A pseudo-random source that is seeded from the system's random device.
std::unique_ptr<IRandom> makeRandom();

} // namespace ivyspar
