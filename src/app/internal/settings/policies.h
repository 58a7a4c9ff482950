#pragma once

#include "app/settings.h"
#include "coordination/admission/gatefactory.h"
#include "coordination/admission/irootadmission.h"
#include "coordination/balance/idomainbalance.h"
#include "coordination/retries/ilocalretrybudget.h"
#include "coordination/retries/retrypolicyfactory.h"
#include "coordination/routing/routerfactory.h"

namespace ivyspar {

/// Options of the decision components, without the policies that the settings disable.
GateOptions makeGateOptions(const DaemonSettings &settings);
RouterOptions makeRouterOptions(const DaemonSettings &settings);
RetryOptions makeRetryOptions(const DaemonSettings &settings);
LocalRetryBudgetOptions makeLocalRetryBudgetOptions(const DaemonSettings &settings);
RootAdmissionOptions makeRootAdmissionOptions(const DaemonSettings &settings);
DomainBalanceOptions makeDomainBalanceOptions(const DaemonSettings &settings);

} // namespace ivyspar
