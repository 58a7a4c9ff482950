#pragma once

#include <cstdint>
#include <string>

#include "state/http.h"
#include "state/ids.h"
#include "state/outcome.h"

namespace ivyspar {

/// A request id as callers receive it: 16 hexadecimal digits.
std::string toText(RootId root);
/// False unless `text` is 16 hexadecimal digits that are not all zero.
bool parseRootId(const std::string &text, RootId &root);

/// The response to a request that got none from an upstream. docs/INTERFACES.md lists the statuses.
HttpResponse makeVerdictResponse(RootId root, const Verdict &verdict, std::uint32_t attempts);

} // namespace ivyspar
