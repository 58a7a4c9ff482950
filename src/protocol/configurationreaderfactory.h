#pragma once

#include <memory>

#include "protocol/iconfigurationreader.h"

namespace ivyspar {

/// Makes a reader of TOML files. It has no state, so threads may share it.
std::unique_ptr<IConfigurationReader> makeConfigurationReader();

} // namespace ivyspar
