#pragma once

#include "state/http.h"
#include "state/ids.h"

namespace ivyspar {

/// BLAKE2b (128 bits, in hex) of what determines how a server runs a request: client account, host,
/// method, path, query and body. Attempts and repetitions of a request have the same fingerprint,
/// whatever their request ids. The hash is cryptographic because callers choose the bodies and
/// could otherwise construct requests that collide with those of others. It includes the account so
/// that one account's requests cannot cause another's to be quarantined. `account` is empty if
/// there is none or it is not known.
Fingerprint fingerprintOf(const AccountName &account, const HttpRequest &request);

} // namespace ivyspar
