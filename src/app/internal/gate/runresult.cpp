#include "app/internal/gate/runresult.h"

#include <utility>

namespace ivyspar {

namespace {

Reason reasonOf(HttpFailureCause cause)
{
    switch (cause) {
    case HttpFailureCause::Connect:
        return Reason::ConnectFailed;
    case HttpFailureCause::Timeout:
        return Reason::Timeout;
    case HttpFailureCause::Cancelled:
        return Reason::Cancelled;
    case HttpFailureCause::Broken:
    case HttpFailureCause::NoRoom:
        return Reason::BrokenAnswer;
    case HttpFailureCause::NoConnection:
        return Reason::QueueFull;
    }
    return Reason::BrokenAnswer;
}

CallResult resultOf(HttpFailureCause cause)
{
    switch (cause) {
    case HttpFailureCause::Timeout:
        return CallResult::TimedOut;
    case HttpFailureCause::Cancelled:
        return CallResult::Cancelled;
    default:
        return CallResult::Failure;
    }
}

} // namespace

RunResult notRun(Reason reason)
{
    RunResult run;
    run.verdict = Verdict{ Outcome::NotRun, reason, Duration::zero() };
    run.result = CallResult::Cancelled;
    return run;
}

RunResult resultOfResponse(const IUpstreamDialect &dialect, HttpResponse response)
{
    RunResult run;
    switch (dialect.classify(response)) {
    case UpstreamResponseKind::Refused:
        run = notRun(Reason::UpstreamRefused);
        run.result = CallResult::Overloaded;
        return run;
    case UpstreamResponseKind::OtherInstance:
        run = notRun(Reason::NoServer);
        run.result = CallResult::Failure;
        run.isContactFailure = true;
        return run;
    case UpstreamResponseKind::Broken:
        run.verdict = Verdict{ Outcome::Unknown, Reason::BrokenAnswer, Duration::zero() };
        run.result = CallResult::Failure;
        return run;
    case UpstreamResponseKind::Ran:
        break;
    }
    run.verdict.outcome = Outcome::Answered;
    run.result = isServerError(response.status) ? CallResult::Failure : CallResult::Success;
    run.response = std::move(response);
    dialect.removeInternalHeaders(run.response);
    return run;
}

RunResult resultOfFailure(const HttpFailure &failure)
{
    RunResult run;
    const bool isProven = failure.stage == HttpFailureStage::NotSent;
    run.verdict.outcome = isProven ? Outcome::NotRun : Outcome::Unknown;
    run.verdict.reason = reasonOf(failure.cause);
    run.result = resultOf(failure.cause);
    run.isContactFailure = failure.cause == HttpFailureCause::Connect;
    return run;
}

} // namespace ivyspar
