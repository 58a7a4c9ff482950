#pragma once

#include "coordination/admission/igate.h"
#include "protocol/iupstreamdialect.h"
#include "state/http.h"
#include "state/outcome.h"
#include "transport/ihttpclient.h"

namespace ivyspar {

/// Result of sending a call once to the server on this host.
struct RunResult
{
    Verdict verdict;
    CallResult result = CallResult::Success;
    HttpResponse response;
    /// No connection could be opened, or another run than the announced one answered.
    bool isContactFailure = false;
};

/// Returns the result of a call that was not started, through no fault of the server.
RunResult notRun(Reason reason);
/// Derives the result from the server's response.
RunResult resultOfResponse(const IUpstreamDialect &dialect, HttpResponse response);
/// Derives the result from a failed exchange: *not run* only if nothing was sent.
RunResult resultOfFailure(const HttpFailure &failure);

} // namespace ivyspar
