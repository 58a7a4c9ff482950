#pragma once

#include "app/settings.h"
#include "coordination/admission/gatefactory.h"
#include "coordination/retries/retrypolicyfactory.h"
#include "coordination/routing/routerfactory.h"

namespace ivyspar {

/// The options of the decisions, with the policies switched off that the settings name.
GateOptions makeGateOptions(const Ablations &ablations);
RouterOptions makeRouterOptions(const Ablations &ablations, const DomainName &domain);
RetryOptions makeRetryOptions(const DaemonSettings &settings);

} // namespace ivyspar
