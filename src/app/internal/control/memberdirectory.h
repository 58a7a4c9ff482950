#pragma once

#include <functional>
#include <string>

#include "app/internal/control/backgroundfiber.h"
#include "app/internal/control/keyedcursor.h"
#include "app/internal/logs/observers.h"
#include "state/endpoint.h"
#include "state/ids.h"
#include "transport/ikeyedlog.h"

namespace ivyspar {

struct MemberDirectorySettings
{
    StreamName stream;
    DaemonId self;
    Endpoint endpoint;
    /// How long one read waits for news.
    Duration wait = std::chrono::seconds(20);
    Duration retry = std::chrono::milliseconds(200);
    Duration longestRetry = std::chrono::seconds(2);
};

/// A list of daemons and where they are reached, in a keyed stream of the platform. It is only how
/// daemons meet for the first time; who is alive is told by membership. Control thread only.
class MemberDirectory
{
public:
    using OnEndpoint = std::function<void(const Endpoint &)>;

    /// `onEndpoint` hears of each daemon's endpoint, also of those long gone.
    MemberDirectory(MemberDirectorySettings settings, IEventLoop &loop, IKeyedLog &log,
                    Observers observers, OnEndpoint onEndpoint);

    void start();
    void stop();

private:
    void follow();
    Ret step();
    void takePage(const KeyedPage &page);
    Ret enterSelf();

    MemberDirectorySettings m_settings;
    IKeyedLog &m_log;
    Observers m_observers;
    OnEndpoint m_onEndpoint;
    BackgroundFiber m_fiber;
    KeyedCursor m_cursor;
    bool m_isEntered = false;
};

} // namespace ivyspar
