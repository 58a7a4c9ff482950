#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "state/result.h"

namespace ivyspar {

/// An IP address and a port. Host names are not accepted.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    std::string text() const;
    /// Parses `127.0.0.1:80` or `[::1]:80`. Fails with `InvalidArgument`.
    static RetVal<Endpoint> parse(const std::string &text);

    friend bool operator==(const Endpoint &a, const Endpoint &b)
    {
        return a.port == b.port && a.address == b.address;
    }
    friend bool operator!=(const Endpoint &a, const Endpoint &b) { return !(a == b); }
    friend bool operator<(const Endpoint &a, const Endpoint &b)
    {
        return std::tie(a.address, a.port) < std::tie(b.address, b.port);
    }
};

} // namespace ivyspar
