#include "coordination/admission/irootadmission.h"

#include "state/http.h"

namespace ivyspar {

namespace {

/// 1. All hosts come back at the same moment, and each daemon learns of the others and their
///    servers within a second or two. Until then requests end for want of a server.
/// 2. Taken for overload, each of them halves the window of its rule, and at the end one request at
///    a time is let in though all servers are there and idle.
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
