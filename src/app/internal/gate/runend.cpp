#include "app/internal/gate/runend.h"

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

RunEnd notRun(Reason reason)
{
    RunEnd end;
    end.verdict = Verdict{ Outcome::NotRun, reason, Duration::zero() };
    end.result = CallResult::Cancelled;
    return end;
}

RunEnd judgeAnswer(const IUpstreamDialect &dialect, HttpResponse response)
{
    RunEnd end;
    switch (dialect.classify(response)) {
    case UpstreamResponseKind::Refused:
        end = notRun(Reason::UpstreamRefused);
        end.result = CallResult::Overloaded;
        return end;
    case UpstreamResponseKind::OtherInstance:
        end = notRun(Reason::NoServer);
        end.result = CallResult::Failure;
        end.isServerDoubted = true;
        return end;
    case UpstreamResponseKind::Broken:
        end.verdict = Verdict{ Outcome::Unknown, Reason::BrokenAnswer, Duration::zero() };
        end.result = CallResult::Failure;
        return end;
    case UpstreamResponseKind::Ran:
        break;
    }
    end.verdict.outcome = Outcome::Answered;
    end.result = isServerError(response.status) ? CallResult::Failure : CallResult::Success;
    end.response = std::move(response);
    dialect.removeInternalHeaders(end.response);
    return end;
}

RunEnd judgeFailure(const HttpFailure &failure)
{
    RunEnd end;
    const bool isProven = failure.stage == HttpFailureStage::NotSent;
    end.verdict.outcome = isProven ? Outcome::NotRun : Outcome::Unknown;
    end.verdict.reason = reasonOf(failure.cause);
    end.result = resultOf(failure.cause);
    end.isServerDoubted = failure.cause == HttpFailureCause::Connect;
    return end;
}

} // namespace ivyspar
