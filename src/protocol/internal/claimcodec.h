#pragma once

#include <string>

#include "coordination/once/claimrecords.h"
#include "state/result.h"

namespace ivyspar {

/// CBOR bytes of one record of the claim stream.
std::string encodeClaims(const ClaimBatch &batch);

/// `InvalidArgument` for a malformed record. Never throws.
RetVal<ClaimBatch> decodeClaims(const std::string &bytes);

} // namespace ivyspar
