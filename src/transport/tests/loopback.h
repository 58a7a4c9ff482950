#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include "state/endpoint.h"

namespace ivyspar {

/// A loopback address used by this process only, with port 0. With a shared address, a test that
/// expects a refused connection could reach a test in another process that was given the port just
/// released.
inline Endpoint ownLoopback()
{
    constexpr in_addr_t FIRST = INADDR_LOOPBACK + 1;
    in_addr address{};
    address.s_addr = htonl(FIRST + static_cast<in_addr_t>(getpid()));
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address, text, sizeof text);
    return Endpoint{ text, 0 };
}

} // namespace ivyspar
