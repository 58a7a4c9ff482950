#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include "state/endpoint.h"

namespace ivyspar {

/// A loopback address of this process only, with port 0. A test that expects a refused connect
/// would otherwise now and then reach a test of another process, which was given the port that has
/// just become free.
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
