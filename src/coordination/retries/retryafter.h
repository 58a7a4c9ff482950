#pragma once

#include "state/irandom.h"
#include "state/time.h"

namespace ivyspar {

/// Delay after which a refused caller should retry: `wanted`, unless the retry would then be too
/// late to be answered within the rule's objective; in that case a quarter to a half of the
/// objective. An objective of zero, or too short for capacity to become free in it, bounds nothing.
///
/// With four in five callers refused, 1 s passes until as many return as can be served. A caller
/// with an objective of 1.2 s that is admitted then is answered late. Callers retry once or twice,
/// whatever the delay, and are admitted no less often if they return sooner.
Duration boundRetryAfter(Duration wanted, Duration objective, IRandom &random);

} // namespace ivyspar
