#pragma once

#include <string>

#include "coordination/upstreams/upstreamreport.h"
#include "state/result.h"

namespace ivyspar {

/// Reads the JSON with which an upstream announces itself; docs/INTERFACES.md describes it.
/// Fails with `InvalidArgument` and a text for the upstream's developer.
RetVal<UpstreamReport> readAnnouncement(const std::string &json);

} // namespace ivyspar
