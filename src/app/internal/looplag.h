#pragma once

#include "transport/ieventloop.h"

namespace ivyspar {

/// How long what arrives waits until this loop comes to it, by how late a short timer runs.
///
/// A daemon gets a part of a processor. When more is asked of it than it can do, requests lie
/// unread in its connections, where nothing shows their age: they were passed on with all the time
/// that their callers had named, up to 1.6 s after these had left.
///
/// The timer runs only while somebody asks, so that an idle daemon does not wake.
class LoopLag
{
public:
    explicit LoopLag(IEventLoop &loop);
    ~LoopLag();
    LoopLag(const LoopLag &) = delete;
    LoopLag &operator=(const LoopLag &) = delete;

    /// Zero while the loop keeps up.
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
