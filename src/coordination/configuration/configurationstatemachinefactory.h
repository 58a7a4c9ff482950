#pragma once

#include <memory>

#include "coordination/configuration/iconfigurationstatemachine.h"

namespace ivyspar {

/// Initial state: version 0 at offset 0.
std::unique_ptr<IConfigurationStateMachine> makeConfigurationStateMachine();

} // namespace ivyspar
