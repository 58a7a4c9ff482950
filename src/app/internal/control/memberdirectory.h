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
    /// Endpoint and failure domain of this daemon.
    MembershipSeed selfSeed;
    /// Mean time between reads by any daemon of the deployment.
    Duration meanReadInterval = std::chrono::milliseconds(500);
    /// Interval before the first retry; doubles with each failure up to `maxRetryInterval`.
    Duration retryInterval = std::chrono::milliseconds(200);
    Duration maxRetryInterval = std::chrono::seconds(2);
};

/// A list of the daemons and their endpoints in a keyed stream of the platform. It only bootstraps
/// membership, which tracks who is alive. The stream is polled and not long-polled: each write
/// would complete a read of every daemon, so that a start of all daemons would cost a number of
/// reads quadratic in theirs. Control thread only.
class MemberDirectory
{
public:
    using OnSeed = std::function<void(const MembershipSeed &)>;
    /// Receives the number of daemons that the directory lists.
    using OnDirectorySize = std::function<void(std::size_t)>;
    /// Returns the number of available daemons, including this one.
    using CountDaemons = std::function<std::size_t()>;

    /// `onSeed` is called for each other daemon in the list, including those that are gone.
    MemberDirectory(MemberDirectorySettings settings, IEventLoop &loop, IKeyedLog &log,
                    IRandom &random, Observers observers, OnSeed onSeed,
                    OnDirectorySize onDirectorySize, CountDaemons countDaemons);

    void start();
    /// Suspends until the fiber has ended. Required before destruction once started.
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
