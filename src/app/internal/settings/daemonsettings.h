#pragma once

#include "app/internal/settings/flagset.h"

namespace ivyspar {

/// The flags of `ivyspar daemon`.
const FlagSet &daemonFlags();

} // namespace ivyspar
