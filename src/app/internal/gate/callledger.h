#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "coordination/retries/internal/attemptledger.h"

namespace ivyspar {

/// The ledger of one call, shared by the calls below it that are in flight.
struct CallLedger : boost::intrusive_ref_counter<CallLedger, boost::thread_unsafe_counter>
{
    explicit CallLedger(AttemptCount granted)
        : ledger(granted)
    {
    }

    AttemptLedger ledger;
};
using CallLedgerPtr = boost::intrusive_ptr<CallLedger>;

} // namespace ivyspar
