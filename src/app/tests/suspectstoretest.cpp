#include "app/internal/control/suspectstore.h"

#include <memory>
#include <vector>

#include "app/tests/mocks/fakekeyedlog.h"
#include "app/tests/mocks/silentobservers.h"
#include "state/internal/seededrandom.h"
#include "transport/tests/mocks/simulatedeventloop.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const StreamName STREAM("suspects");
const ServerKind KIND{ ServiceName("catalogo"), UpstreamVersion("v1") };
constexpr std::size_t DAEMONS = 3;

SuspectRecord makeRecord(const std::string &fingerprint)
{
    SuspectRecord record;
    record.fingerprint = Fingerprint(fingerprint);
    record.crashes = { Crash{ UpstreamRunName("i-1"), KIND, TimePoint(), false, false },
                       Crash{ UpstreamRunName("i-2"), KIND, TimePoint(), true, false } };
    return record;
}

} // namespace

TEST_GROUP(SuspectStore)
{
    SimulatedEventLoop m_loop;
    FakeKeyedLog m_log{ m_loop };
    SeededRandom m_random{ 1 };
    SilentObservers m_observers;
    std::unique_ptr<SuspectStore> m_store;
    /// The records that each read has passed on.
    std::vector<std::vector<SuspectRecord>> m_reads;
    SuspectStoreChanges m_changes;
    int m_firstReads = 0;

    void setup() override
    {
        SuspectStoreSettings settings;
        settings.stream = STREAM;
        m_store = std::make_unique<SuspectStore>(
            settings, m_loop, m_log, m_random, m_observers.observers(),
            [this](std::vector<SuspectRecord> records, const SuspectStore::OnSynced &onSynced) {
                m_reads.push_back(std::move(records));
                onSynced(std::exchange(m_changes, {}));
            },
            [] { return DAEMONS; }, [this] { ++m_firstReads; });
    }

    void teardown() override
    {
        m_loop.spawn([this] { m_store->stop(); });
        m_loop.runFor(1s);
        m_store.reset();
    }

    /// A server has crashed, and the record is to be written.
    void writeRecord(const std::string &fingerprint)
    {
        m_changes.written = { makeRecord(fingerprint) };
        m_store->onUnsaved();
        m_loop.runFor(1s);
    }
};

TEST(SuspectStore, FirstReadIsReportedOnce)
{
    m_store->start();
    CHECK_FALSE(m_store->wasRead());
    m_loop.runFor(10s);
    CHECK(m_store->wasRead());
    LONGS_EQUAL(1, m_firstReads);
}

// Guards against a daemon that waits for a store that is away before it serves.
TEST(SuspectStore, FailedFirstReadIsReportedAndRepeated)
{
    m_log.isDown = true;
    m_store->start();
    m_loop.runFor(100ms);
    LONGS_EQUAL(1, m_firstReads);
    CHECK(m_reads.empty());
    m_log.isDown = false;
    m_loop.runFor(3s);
    LONGS_EQUAL(1, m_reads.size());
    LONGS_EQUAL(1, m_firstReads);
}

// Guards against calls to the store while no server crashes.
TEST(SuspectStore, ReadsOnceWhileThereAreNoRecords)
{
    m_store->start();
    m_loop.runFor(60s);
    LONGS_EQUAL(1, m_log.reads);
}

TEST(SuspectStore, UnsavedRecordsAreWrittenAndReadAgain)
{
    m_store->start();
    m_loop.runFor(1s);
    writeRecord("f00d");
    LONGS_EQUAL(1, m_log.writes(STREAM));
    m_reads.clear();
    m_loop.runFor(60s);
    CHECK_FALSE(m_reads.empty());
    LONGS_EQUAL(1, m_reads.back().size());
    CHECK(m_reads.back().front().fingerprint == Fingerprint("f00d"));
    LONGS_EQUAL(2, m_reads.back().front().crashes.size());
}

TEST(SuspectStore, RemovedRecordsAreNotReadAgain)
{
    m_store->start();
    writeRecord("f00d");
    m_changes.removed = { Fingerprint("f00d") };
    m_store->onUnsaved();
    m_loop.runFor(1s);
    m_store->onUnsaved();
    m_loop.runFor(1s);
    CHECK(m_reads.back().empty());
}

// Guards against a burst of crashes that uses up the store's rate of writes.
TEST(SuspectStore, WritesAreLimited)
{
    m_store->start();
    m_loop.runFor(1s);
    const std::size_t before = m_log.reads;
    for (int i = 0; i < 1000; ++i) {
        m_store->onUnsaved();
        m_loop.runFor(1ms);
    }
    CHECK_COMPARE(m_log.reads - before, <=, 6);
}

// Guards against records of another writer that hide those which can be read.
TEST(SuspectStore, UnreadableRecordsAreSkipped)
{
    writeRecord("f00d");
    m_log.write(STREAM, "odd", "[[[[");
    m_log.write(STREAM, "other", std::string(1000, '\xff'));
    m_log.write(STREAM, "gone", "");
    m_store->start();
    writeRecord("f00d");
    m_store->onUnsaved();
    m_loop.runFor(1s);
    LONGS_EQUAL(1, m_reads.back().size());
}
