#pragma once

#include "coordination/admission/igate.h"
#include "protocol/iupstreamdialect.h"
#include "state/http.h"
#include "state/outcome.h"
#include "transport/ihttpclient.h"

namespace ivyspar {

/// How one send of a call to the server of this host ended.
struct RunEnd
{
    Verdict verdict;
    CallResult result = CallResult::Success;
    HttpResponse response;
    /// No server was met, or another run than the one that was announced.
    bool isServerMissing = false;
};

/// The call was not begun, and no server is to blame.
RunEnd notRun(Reason reason);
/// Reads what the server answered.
RunEnd judgeAnswer(const IUpstreamDialect &dialect, HttpResponse response);
/// Reads why there was no whole answer: *not run* only if nothing was sent.
RunEnd judgeFailure(const HttpFailure &failure);

} // namespace ivyspar
