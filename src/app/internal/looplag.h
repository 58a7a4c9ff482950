#pragma once

#include "transport/ieventloop.h"

namespace ivyspar {

/// Estimates how long incoming data waits until this event loop handles it, from how late a short
/// timer fires.
///
/// A daemon has only a share of a processor. Under overload, requests wait unread in its
/// connections, where their age is not visible: they were forwarded with the full deadline that
/// their callers had given, up to 1.6 s after the callers had left.
///
/// The timer runs only while the lag is queried, so that an idle daemon does not wake up.
class LoopLag
{
public:
    explicit LoopLag(IEventLoop &loop);
    ~LoopLag();
    LoopLag(const LoopLag &) = delete;
    LoopLag &operator=(const LoopLag &) = delete;

    /// The current lag; zero while the loop keeps up.
    Duration current();

private:
    void arm();
    void onProbe();

    IEventLoop &m_loop;
    TimerId m_timer;
    bool m_isArmed = false;
    bool m_wasQueried = false;
    TimePoint m_dueAt;
    Duration m_lastLag{ 0 };
};

} // namespace ivyspar
