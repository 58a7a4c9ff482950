#pragma once

#include <string>

#include "state/endpoint.h"
#include "state/http.h"
#include "state/result.h"
#include "state/time.h"

namespace ivyspar::lab {

/// One HTTP exchange on a connection of its own, for tests and demos that are not on an event loop.
RetVal<HttpResponse> exchangeBlocking(const Endpoint &endpoint, const HttpRequest &request,
                                      Duration timeout);

} // namespace ivyspar::lab
