#pragma once

#include <cstdint>
#include <optional>

#include "state/ids.h"

namespace ivyspar {

/// Rate of requests, in thousandths of a request per second.
using RequestRate = StrongType<std::uint64_t, struct RequestRateTag>;

constexpr double toPerSecond(RequestRate rate)
{
    return static_cast<double>(rate.value()) / 1000;
}

/// What one run of a server states about itself in its responses. It binds all daemons that know
/// it, for as long as the run states it.
struct UpstreamNotice
{
    /// The run that stated it; empty if there is nothing to heed.
    UpstreamRunName run;
    /// Requests that the server accepts from all daemons together; nothing if it states no limit.
    std::optional<RequestRate> rateLimit;
    /// The server is shutting down. Final for this run.
    bool isLeaving = false;
};

inline bool operator==(const UpstreamNotice &a, const UpstreamNotice &b)
{
    return a.run == b.run && a.rateLimit == b.rateLimit && a.isLeaving == b.isLeaving;
}

} // namespace ivyspar
