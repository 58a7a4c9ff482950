#include "app/internal/settings/policies.h"

namespace ivyspar {

namespace {

/// A retried run repeats its own calls, which count against the budgets of the services below. So
/// each daemon uses only half of the budget.
constexpr double OWN_BUDGET_SHARE = 0.5;
/// Hedges are sent only for missing responses: waiting for a late response costs less than a retry
/// from the shared budget.
constexpr double HEDGE_DELAY_FACTOR = 2;
/// Root admission replaces the priority floor of the next service, and covers the services behind
/// it as well.
bool hasFloor(const DaemonSettings &settings)
{
    return !settings.ablations.floor && !settings.hasRootAdmission;
}

} // namespace

GateOptions makeGateOptions(const DaemonSettings &settings)
{
    const Ablations &ablations = settings.ablations;
    GateOptions options;
    if (settings.hasExactSlots) {
        // If a server sheds calls for another reason, a lower concurrency limit does not help it.
        options.limit = LimitKind::Fixed;
    }
    if (ablations.admission) {
        options.limit = LimitKind::Fixed;
        options.isQueueBounded = false;
    }
    if (ablations.rank) {
        options.order = QueueOrder::Fifo;
    }
    options.hasFloor = hasFloor(settings);
    options.isDoomedDropped = !ablations.doomed;
    return options;
}

RouterOptions makeRouterOptions(const DaemonSettings &settings)
{
    const Ablations &ablations = settings.ablations;
    RouterOptions options;
    options.domain = settings.domain;
    options.hasFloor = hasFloor(settings);
    if (ablations.routing) {
        options.usesTwoChoices = false;
        options.prefersOwnDomain = false;
        options.hasSlowStart = false;
        options.hasErrorPenalty = false;
    }
    return options;
}

RetryOptions makeRetryOptions(const DaemonSettings &settings)
{
    const Ablations &ablations = settings.ablations;
    RetryOptions options;
    if (settings.retryBudget) {
        options.countsUpstreamAttemptsOnly = true;
        options.retryRatio = settings.retryBudget->ratio * OWN_BUDGET_SHARE;
        // A daemon that has just started does not know how many others start at the same time.
        // Their initial tokens together could exceed the budget.
        options.initialRetryTokens = 0;
        options.sharedRetryTokens = settings.retryBudget->slack;
        options.hedgesUseRetryTokens = true;
        options.hedgeFactor = HEDGE_DELAY_FACTOR;
    }
    if (ablations.retryTokens) {
        options.hasRetryTokens = false;
        options.isNextHopOnly = false;
    }
    options.hasHedging = !ablations.hedging;
    return options;
}

LocalRetryBudgetOptions makeLocalRetryBudgetOptions(const DaemonSettings &settings)
{
    LocalRetryBudgetOptions options;
    options.isEnabled = !settings.ablations.localRetries;
    if (settings.retryBudget) {
        options.ratio = settings.retryBudget->ratio;
        options.window = settings.retryBudget->window;
    }
    return options;
}

RootAdmissionOptions makeRootAdmissionOptions(const DaemonSettings &settings)
{
    RootAdmissionOptions options;
    options.hasFairShares = !settings.ablations.fairShares;
    options.hasAccountShares = !settings.ablations.accountShares;
    options.hasLossBasedAdmission = !settings.ablations.lossBasedAdmission;
    if (settings.retryBudget && !settings.ablations.localRetries) {
        options.retryRatio = settings.retryBudget->ratio;
    }
    return options;
}

DomainBalanceOptions makeDomainBalanceOptions(const DaemonSettings &settings)
{
    DomainBalanceOptions options;
    if (settings.hasRootAdmission) {
        options.targetUtilization = TARGET_UTILIZATION_WITH_ADMISSION;
    }
    return options;
}

} // namespace ivyspar
