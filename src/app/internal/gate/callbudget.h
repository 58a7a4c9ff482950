#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "coordination/retries/internal/attemptbudget.h"
#include "state/usage.h"

namespace ivyspar {

/// The attempt budget of one call, shared by its inner calls that are in flight.
struct CallBudget : boost::intrusive_ref_counter<CallBudget, boost::thread_unsafe_counter>
{
    explicit CallBudget(AttemptCount granted)
        : budget(granted)
    {
    }

    AttemptBudget budget;
};

/// Usage of the inner calls of one call, summed up while it runs.
struct CallTree : boost::intrusive_ref_counter<CallTree, boost::thread_unsafe_counter>
{
    RuleName rule;
    TreeUsage usage;
    /// The call has ended and its usage was reported with the answer.
    bool isClosed = false;
};
using CallTreePtr = boost::intrusive_ptr<CallTree>;

using CallBudgetPtr = boost::intrusive_ptr<CallBudget>;

} // namespace ivyspar
