#pragma once

#include <memory>

#include "protocol/iconfigurationreader.h"

namespace ivyspar {

/// The reader of TOML files. Stateless: one may serve many threads.
std::unique_ptr<IConfigurationReader> makeConfigurationReader();

} // namespace ivyspar
