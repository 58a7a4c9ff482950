#include "app/internal/policies.h"

namespace ivyspar {

GateOptions makeGateOptions(const Ablations &ablations)
{
    GateOptions options;
    if (ablations.admission) {
        options.limit = LimitKind::Fixed;
        options.isQueueBounded = false;
    }
    if (ablations.rank) {
        options.order = QueueOrder::Fifo;
    }
    options.hasFloor = !ablations.floor;
    options.isDoomedDropped = !ablations.doomed;
    return options;
}

RouterOptions makeRouterOptions(const Ablations &ablations, const DomainName &domain)
{
    RouterOptions options;
    options.domain = domain;
    options.hasFloor = !ablations.floor;
    if (ablations.routing) {
        options.hasTwoChoices = false;
        options.isOwnDomainFirst = false;
        options.hasSlowStart = false;
        options.hasErrorPenalty = false;
    }
    return options;
}

RetryOptions makeRetryOptions(const Ablations &ablations)
{
    RetryOptions options;
    if (ablations.retryTokens) {
        options.hasRetryTokens = false;
        options.isNextHopOnly = false;
    }
    options.hasHedging = !ablations.hedging;
    return options;
}

} // namespace ivyspar
