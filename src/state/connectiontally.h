#pragma once

#include <cstdint>

namespace ivyspar {

/// Counts of the requests of one connection by how they relate to running calls. They tell whether
/// the peer is a caller or the server of this host.
struct ConnectionTally
{
    /// Requests that cannot have been made by any running call of this host's server.
    std::uint32_t unattributed = 0;
    /// Requests whose deadline matches that of a running call.
    std::uint32_t matches = 0;
    /// Requests that a running call may have made, but whose deadline does not match it.
    std::uint32_t mismatches = 0;
};

} // namespace ivyspar
