#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "coordination/retries/internal/attemptbudget.h"
#include "state/usage.h"

namespace ivyspar {

/// The ledger of one call, shared by the calls below it that are in flight.
struct CallLedger : boost::intrusive_ref_counter<CallLedger, boost::thread_unsafe_counter>
{
    explicit CallLedger(AttemptCount granted)
        : ledger(granted)
    {
    }

    AttemptBudget ledger;
};
/// What the calls below one call cost, summed up while it runs.
struct CallTree : boost::intrusive_ref_counter<CallTree, boost::thread_unsafe_counter>
{
    RuleName rule;
    TreeUsage usage;
    /// The call has ended and its usage was told.
    bool isClosed = false;
};
using CallTreePtr = boost::intrusive_ptr<CallTree>;

using CallLedgerPtr = boost::intrusive_ptr<CallLedger>;

} // namespace ivyspar
