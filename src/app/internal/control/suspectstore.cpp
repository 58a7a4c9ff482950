#include "app/internal/control/suspectstore.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "coordination/configuration/internal/pollschedule.h"
#include "protocol/suspectexchange.h"
#include "transport/oneshot.h"

namespace ivyspar {

namespace {

constexpr Duration SYNC_TIMEOUT = std::chrono::seconds(2);
/// Pause while there are no records; ended early by `onUnsaved`.
constexpr Duration IDLE_PAUSE = std::chrono::hours(1);

std::uint64_t unixMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

SuspectStore::SuspectStore(SuspectStoreSettings settings, IEventLoop &loop, IKeyedLog &log,
                           IRandom &random, Observers observers, Sync sync,
                           CountDaemons countDaemons, std::function<void()> onFirstRead)
    : m_settings(std::move(settings))
    , m_loop(loop)
    , m_log(log)
    , m_random(random)
    , m_observers(observers)
    , m_sync(std::move(sync))
    , m_countDaemons(std::move(countDaemons))
    , m_onFirstRead(std::move(onFirstRead))
    , m_fiber(loop)
{
}

void SuspectStore::start()
{
    m_fiber.start([this] { follow(); });
}

void SuspectStore::stop()
{
    m_fiber.stop([this] { m_log.cancel(); });
}

void SuspectStore::onUnsaved()
{
    m_isUnsaved = true;
    m_fiber.wake();
}

void SuspectStore::follow()
{
    Duration pause = m_settings.retryInterval;
    while (!m_fiber.isStopped()) {
        const Ret done = step();
        if (!std::exchange(m_wasRead, true)) {
            m_onFirstRead();
        }
        if (done) {
            pause = m_settings.retryInterval;
            waitForNextRead();
            continue;
        }
        m_observers.log.debug("records of suspects: " + done.error().text);
        m_fiber.pause(pause);
        pause = std::min(2 * pause, m_settings.maxRetryInterval);
    }
}

/// Reads before each write, as other daemons write the same records.
Ret SuspectStore::step()
{
    m_isUnsaved = false;
    const RetVal<KeyedPage> page = m_log.newest(m_settings.stream);
    if (!page) {
        return tl::unexpected<Error>(page.error());
    }
    std::vector<SuspectRecord> records = decode(*page);
    m_isInUse = !records.empty();
    const RetVal<SuspectStoreChanges> changes = sync(std::move(records));
    if (!changes) {
        return tl::unexpected<Error>(changes.error());
    }
    if (changes->isEmpty()) {
        return {};
    }
    m_isInUse = true;
    return m_log.put(m_settings.stream, encode(*changes));
}

/// Other writers may leave records that cannot be read; they do not hide the others.
std::vector<SuspectRecord> SuspectStore::decode(const KeyedPage &page)
{
    std::vector<SuspectRecord> records;
    for (const KeyedRecord &item : page.records) {
        if (item.value.empty()) {
            continue;
        }
        RetVal<SuspectRecord> record = decodeStoredSuspect(item.value, m_loop.now(), unixMillis());
        if (record && record->fingerprint.value() == item.key) {
            records.push_back(std::move(*record));
        }
    }
    return records;
}

RetVal<SuspectStoreChanges> SuspectStore::sync(std::vector<SuspectRecord> records)
{
    // Shared, as the answer of the traffic thread may come after this fiber gave up.
    const auto synced = std::make_shared<OneShot<SuspectStoreChanges>>(m_loop);
    m_sync(std::move(records),
           [synced](SuspectStoreChanges changes) { synced->set(std::move(changes)); });
    std::optional<SuspectStoreChanges> changes = synced->wait(SYNC_TIMEOUT);
    if (!changes) {
        return makeError(ErrorCode::Unavailable, "the traffic thread is too busy to answer");
    }
    return std::move(*changes);
}

std::vector<KeyedRecord> SuspectStore::encode(const SuspectStoreChanges &changes) const
{
    std::vector<KeyedRecord> records;
    for (const SuspectRecord &record : changes.written) {
        records.push_back({ record.fingerprint.value(),
                            encodeStoredSuspect(record, m_loop.now(), unixMillis()) });
    }
    for (const Fingerprint &fingerprint : changes.removed) {
        records.push_back({ fingerprint.value(), {} });
    }
    return records;
}

void SuspectStore::waitForNextRead()
{
    const TimePoint earliest = m_loop.now() + m_settings.minInterval;
    if (!m_isUnsaved) {
        m_fiber.pause(
            m_isInUse ? drawSharedReadPause(m_settings.meanReadInterval, m_countDaemons(), m_random)
                      : IDLE_PAUSE);
    }
    const TimePoint next = std::max(earliest, m_loop.now() + m_settings.writeDelay);
    while (!m_fiber.isStopped() && m_loop.now() < next) {
        m_fiber.pause(std::chrono::duration_cast<Duration>(next - m_loop.now()));
    }
}

} // namespace ivyspar
