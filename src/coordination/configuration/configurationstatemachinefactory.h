#pragma once

#include <memory>

#include "coordination/configuration/iconfigurationstatemachine.h"

namespace ivyspar {

/// A fold that has read nothing: version 0 at offset 0.
std::unique_ptr<IConfigurationStateMachine> makeConfigurationStateMachine();

} // namespace ivyspar
