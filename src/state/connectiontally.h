#pragma once

#include <cstdint>

namespace ivyspar {

/// What the requests of one connection told of its other end: a caller, or the server of this host.
struct ConnectionTally
{
    /// Requests that no running call of this host's server can have made.
    std::uint32_t unattributed = 0;
    /// Requests that end with a running call.
    std::uint32_t matches = 0;
    /// Requests that a running call may have made, but that do not end with it.
    std::uint32_t mismatches = 0;
};

} // namespace ivyspar
