#pragma once

#include <memory>

#include "state/irandom.h"

namespace ivyspar {

/// A source that differs from process to process.
std::unique_ptr<IRandom> makeRandom();

} // namespace ivyspar
