#include "coordination/admission/irootadmission.h"

#include "state/http.h"

namespace ivyspar {

namespace {

/// Whether the request ended because no server was reached. After a power failure all hosts start
/// at once, and daemons take 1 to 2 s to discover each other and their servers. If requests that
/// end in that time counted as overload, each would halve the window of its rule, until one request
/// at a time is admitted to idle servers.
bool hasMetNoServer(const Verdict &verdict)
{
    if (verdict.outcome != Outcome::NotRun) {
        return false;
    }
    switch (verdict.reason) {
    case Reason::NoConfiguration:
    case Reason::NoServer:
    case Reason::ConnectFailed:
    case Reason::Draining:
    case Reason::ShuttingDown:
    case Reason::Suspected:
    case Reason::Quarantined:
        return true;
    default:
        return false;
    }
}

} // namespace

RootResult rootResultOf(const Verdict &verdict, std::uint16_t status)
{
    if (verdict.outcome == Outcome::Answered && !isServerError(status)) {
        return RootResult::Success;
    }
    const bool tellsNothing = verdict.reason == Reason::Cancelled || hasMetNoServer(verdict);
    return tellsNothing ? RootResult::Ignored : RootResult::Failure;
}

} // namespace ivyspar
