#pragma once

#include "app/ilog.h"
#include "state/idecisionlog.h"
#include "state/imetrics.h"

namespace ivyspar {

/// Where a daemon's parts tell what they do. Safe to use from all threads.
struct Observers
{
    ILog &log;
    IDecisionLog &decisions;
    IMetrics &metrics;
};

} // namespace ivyspar
