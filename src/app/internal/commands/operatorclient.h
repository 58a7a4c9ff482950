#pragma once

#include <string>

#include "state/endpoint.h"
#include "state/result.h"
#include "state/time.h"

namespace ivyspar {

/// GETs `target` from a daemon's operator endpoint and returns the body of a response with status
/// 200. Blocks for `timeout` at most. Fails with `Unavailable` on any other result.
RetVal<std::string> fetchFromOperatorEndpoint(const Endpoint &endpoint, const std::string &target,
                                              Duration timeout);
/// The same with a POST without a body.
RetVal<std::string> postToOperatorEndpoint(const Endpoint &endpoint, const std::string &target,
                                           Duration timeout);

} // namespace ivyspar
