#pragma once

#include <string>
#include <vector>

#include "coordination/upstreams/statedload.h"
#include "state/http.h"

namespace ivyspar {

/// Reads the load that a server states in the header of that name: running and waiting requests,
/// slots and, optionally, the present work time in percent of the usual one, separated by commas.
/// All other text, numbers of more than nine digits, a slot count or work time of 0 and more than
/// one header of that name are malformed.
LoadStatement readLoad(const std::vector<HttpHeader> &headers, const std::string &name);

} // namespace ivyspar
