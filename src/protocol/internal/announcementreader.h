#pragma once

#include <string>

#include "coordination/upstreams/upstreamreport.h"
#include "state/result.h"

namespace ivyspar {

/// Reads the JSON with which an upstream announces itself; docs/INTERFACES.md describes it.
/// `InvalidArgument` with a text for the upstream's developer if it is malformed.
RetVal<UpstreamReport> readAnnouncement(const std::string &json);

} // namespace ivyspar
