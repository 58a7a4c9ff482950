#pragma once

#include "state/irandom.h"
#include "state/time.h"

namespace ivyspar {

/// When a refused caller is to come back, if `wanted` would bring it back too late to be answered
/// within the rule's objective: after a quarter to a half of that instead. Zero for no objective,
/// and one that is too short for room to come free within it bounds nothing.
///
/// Where four in five callers are refused, 1 s passes until as many come back as fit, and a caller
/// with an objective of 1.2 s who is let in then is answered late. It comes back once or twice,
/// whenever that is, and is let in no less often if it comes sooner.
Duration boundRetryAfter(Duration wanted, Duration objective, IRandom &random);

} // namespace ivyspar
