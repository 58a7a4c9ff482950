#pragma once

#include <memory>

#include "coordination/configuration/iconfigurationfold.h"

namespace ivyspar {

/// A fold that has read nothing: version 0 at offset 0.
std::unique_ptr<IConfigurationFold> makeConfigurationFold();

} // namespace ivyspar
