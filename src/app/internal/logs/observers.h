#pragma once

#include "app/ilog.h"
#include "state/idecisionlog.h"
#include "state/imetrics.h"

namespace ivyspar {

/// The logs and metrics to which the components of a daemon report. Thread-safe.
struct Observers
{
    ILog &log;
    IDecisionLog &decisions;
    IMetrics &metrics;
};

} // namespace ivyspar
