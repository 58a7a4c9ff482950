#pragma once

#include <optional>

#include "state/upstreamnotice.h"

namespace ivyspar {

/// The notice in a single response of a server.
struct ResponseNotice
{
    /// Nothing if the response states no limit, or a malformed one.
    std::optional<RequestRate> rateLimit;
    /// A malformed limit neither sets a limit nor lifts one.
    bool isRateLimitMalformed = false;
    bool isLeaving = false;
};

} // namespace ivyspar
