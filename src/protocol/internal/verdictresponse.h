#pragma once

#include <cstdint>
#include <string>

#include "state/http.h"
#include "state/ids.h"
#include "state/outcome.h"

namespace ivyspar {

/// A request id as callers see it: 16 hexadecimal digits.
std::string toText(RootId root);
/// Nothing unless `text` is 16 hexadecimal digits and not all zero.
bool parseRootId(const std::string &text, RootId &root);

/// The answer to a request that has no upstream's answer. docs/INTERFACES.md lists the statuses.
HttpResponse makeVerdictResponse(RootId root, const Verdict &verdict, std::uint32_t attempts);

} // namespace ivyspar
