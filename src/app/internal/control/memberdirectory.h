#pragma once

#include <functional>
#include <set>
#include <string>

#include "app/internal/control/backgroundfiber.h"
#include "app/internal/control/keyedcursor.h"
#include "app/internal/logs/observers.h"
#include "coordination/membership/imembership.h"
#include "state/endpoint.h"
#include "state/ids.h"
#include "state/irandom.h"
#include "transport/ikeyedlog.h"

namespace ivyspar {

struct MemberDirectorySettings
{
    StreamName stream;
    DaemonId self;
    MembershipSeed selfSeed;
    /// Mean time between two reads of all daemons together.
    Duration meanReadInterval = std::chrono::milliseconds(500);
    Duration retryInterval = std::chrono::milliseconds(200);
    Duration maxRetryInterval = std::chrono::seconds(2);
};

/// A list of daemons and where they are reached, in a keyed stream of the platform. It is only how
/// daemons meet for the first time; who is alive is told by membership. Nobody follows the stream:
/// each write would wake a read of every daemon, and a start of all cost the square of their
/// number. Control thread only.
class MemberDirectory
{
public:
    using OnSeed = std::function<void(const MembershipSeed &)>;
    /// Number of daemons that are known to be alive, with this one.
    /// Gets the number of daemons that the directory lists.
    using OnDirectorySize = std::function<void(std::size_t)>;
    using CountDaemons = std::function<std::size_t()>;

    /// `onSeed` hears of each daemon, also of those long gone.
    MemberDirectory(MemberDirectorySettings settings, IEventLoop &loop, IKeyedLog &log,
                    IRandom &random, Observers observers, OnSeed onSeed,
                    OnDirectorySize onDirectorySize, CountDaemons countDaemons);

    void start();
    void stop();

private:
    void follow();
    Ret step();
    Ret readNewRecords();
    void applyPage(const KeyedPage &page);
    Ret registerSelf();

    MemberDirectorySettings m_settings;
    IKeyedLog &m_log;
    IRandom &m_random;
    Observers m_observers;
    OnSeed m_onSeed;
    OnDirectorySize m_onDirectorySize;
    CountDaemons m_countDaemons;
    BackgroundFiber m_fiber;
    KeyedCursor m_cursor;
    bool m_isRegistered = false;
    std::set<std::string> m_listedDaemons;
};

} // namespace ivyspar
