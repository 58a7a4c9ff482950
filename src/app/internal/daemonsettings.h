#pragma once

#include "app/internal/flagset.h"

namespace ivyspar {

/// The flags of `ivyspar daemon`.
const FlagSet &daemonFlags();

} // namespace ivyspar
