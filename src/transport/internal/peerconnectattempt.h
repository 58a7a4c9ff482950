#pragma once

#include <optional>
#include <utility>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "state/ids.h"
#include "state/result.h"
#include "transport/internal/fiberwaiter.h"

namespace ivyspar {

/// An attempt to open a link, with the fibers that wait for its result.
class PeerConnectAttempt
    : public boost::intrusive_ref_counter<PeerConnectAttempt, boost::thread_unsafe_counter>
{
public:
    /// Ignored if there is already a result.
    void finish(const RetVal<LinkId> &result)
    {
        if (m_result) {
            return;
        }
        m_result = result;
        for (FiberWaiter *waiter : std::exchange(m_waiters, {})) {
            waiter->wake();
        }
    }

    /// Suspends the calling fiber until there is a result.
    RetVal<LinkId> wait()
    {
        if (!m_result) {
            FiberWaiter waiter;
            m_waiters.push_back(&waiter);
            waiter.wait();
        }
        return *m_result;
    }

private:
    std::optional<RetVal<LinkId>> m_result;
    std::vector<FiberWaiter *> m_waiters;
};
using PeerConnectAttemptPtr = boost::intrusive_ptr<PeerConnectAttempt>;

} // namespace ivyspar
