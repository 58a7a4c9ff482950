#pragma once

#include <string>

#include "standins/graph/callgraph.h"

namespace ivyspar::lab {

/// Writes `inventory.toml` and `rules.toml` for a graph into `folder`: a rule for each node, of one
/// class, that may be repeated.
void writeConfigurationFiles(const CallGraph &graph, const std::string &folder);

/// One service of `servers` servers that answers `GET /work` at once, over `domains` failure
/// domains.
CallGraph makeFlatGraph(std::uint32_t servers, std::uint32_t domains);

/// `makeFlatGraph`, with as many hosts of a second service, at which callers enter: each of their
/// calls goes over a link between daemons.
CallGraph makePairGraph(std::uint32_t servers);

} // namespace ivyspar::lab
