#pragma once

#include <string>

#include "state/endpoint.h"
#include "state/result.h"

namespace ivyspar {

/// The endpoints that a daemon listens on, with the ports that it was assigned.
struct ListeningEndpoints
{
    Endpoint caller;
    Endpoint operators;
    Endpoint upstream;
    Endpoint peer;
};

/// Writes `{"caller": "IP:port", "operator": …, "upstream": …, "peer": …}`. The file
/// appears atomically. Fails with `Unavailable` if it cannot be written.
Ret writeReadyFile(const std::string &path, const ListeningEndpoints &endpoints);

} // namespace ivyspar
