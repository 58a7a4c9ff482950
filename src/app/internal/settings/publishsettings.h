#pragma once

#include "app/internal/settings/flagset.h"

namespace ivyspar {

/// The flags of `ivyspar publish`.
const FlagSet &publishFlags();

} // namespace ivyspar
