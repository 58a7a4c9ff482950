#pragma once

#include <functional>
#include <vector>

#include "app/internal/control/backgroundfiber.h"
#include "app/internal/logs/observers.h"
#include "coordination/quarantine/suspectarchive.h"
#include "state/ids.h"
#include "state/irandom.h"
#include "transport/ieventloop.h"
#include "transport/ikeyedlog.h"

namespace ivyspar {

struct SuspectStoreSettings
{
    StreamName stream;
    /// Mean time between reads by any daemon of the deployment, while there are records.
    Duration meanReadInterval = std::chrono::seconds(2);
    /// Crashes within this time are written together, once the other daemons have told theirs.
    Duration writeDelay = std::chrono::milliseconds(50);
    /// Time between two writes of this daemon.
    Duration minInterval = std::chrono::milliseconds(200);
    /// Interval before the first retry; doubles with each failure up to `maxRetryInterval`.
    Duration retryInterval = std::chrono::milliseconds(200);
    Duration maxRetryInterval = std::chrono::seconds(2);
};

/// Keeps the records of requests that crash servers in a keyed stream of the platform, as daemons
/// have them in memory only: after a restart of all daemons such a request would crash servers
/// again. Control thread only.
class SuspectStore
{
public:
    /// Receives what is to be written. Called on the control thread.
    using OnSynced = std::function<void(SuspectStoreChanges)>;
    /// Merges all records of the stream into the table of suspects.
    using Sync = std::function<void(std::vector<SuspectRecord>, OnSynced)>;
    /// Returns the number of available daemons, including this one.
    using CountDaemons = std::function<std::size_t()>;

    /// `onFirstRead` is called once, when the stream was read for the first time or could not be.
    SuspectStore(SuspectStoreSettings settings, IEventLoop &loop, IKeyedLog &log, IRandom &random,
                 Observers observers, Sync sync, CountDaemons countDaemons,
                 std::function<void()> onFirstRead);

    void start();
    /// Suspends until the fiber has ended. Required before destruction once started.
    void stop();
    /// There are records that the stream lacks.
    void onUnsaved();
    /// Whether `onFirstRead` was called.
    bool wasRead() const { return m_wasRead; }

private:
    void follow();
    Ret step();
    std::vector<SuspectRecord> decode(const KeyedPage &page);
    RetVal<SuspectStoreChanges> sync(std::vector<SuspectRecord> records);
    std::vector<KeyedRecord> encode(const SuspectStoreChanges &changes) const;
    void waitForNextRead();

    SuspectStoreSettings m_settings;
    IEventLoop &m_loop;
    IKeyedLog &m_log;
    IRandom &m_random;
    Observers m_observers;
    Sync m_sync;
    CountDaemons m_countDaemons;
    std::function<void()> m_onFirstRead;
    BackgroundFiber m_fiber;
    bool m_wasRead = false;
    bool m_isUnsaved = false;
    /// The stream has records, or is to have some.
    bool m_isInUse = false;
};

} // namespace ivyspar
