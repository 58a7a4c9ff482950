#include "coordination/quarantine/isuspecttable.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const Fingerprint REQUEST("4f00");
const Fingerprint OTHER("77aa");
const ServerKind KIND{ ServiceName("catalogo"), UpstreamVersion("v1") };
const ServerKind NEXT_KIND{ ServiceName("catalogo"), UpstreamVersion("v2") };
const ServerKind OTHER_SERVICE{ ServiceName("cassa"), UpstreamVersion("v1") };

} // namespace

TEST_GROUP(SuspectTable)
{
    TimePoint m_now{ 1000s };
    std::unique_ptr<ISuspectTable> m_table = makeSuspectTable();

    bool crash(const Fingerprint &fingerprint, const std::string &run,
               const ServerKind &kind = KIND, bool isTrial = false)
    {
        return m_table->addCrash(m_now, fingerprint,
                                 Crash{ UpstreamRunName(run), kind, m_now, true, isTrial });
    }
    Suspicion suspicionAt(const ServerKind &kind, const Fingerprint &fingerprint = REQUEST)
    {
        return m_table->assess(m_now, fingerprint, kind).suspicion;
    }
    Suspicion suspicionAnywhere(const Fingerprint &fingerprint = REQUEST)
    {
        return m_table->assess(m_now, fingerprint).suspicion;
    }
    void quarantine()
    {
        crash(REQUEST, "i-1");
        crash(REQUEST, "i-2");
        crash(REQUEST, "i-3");
    }
};

TEST(SuspectTable, ThreeCrashesQuarantine)
{
    CHECK(suspicionAt(KIND) == Suspicion::None);
    crash(REQUEST, "i-1");
    CHECK(suspicionAt(KIND) == Suspicion::Suspect);
    crash(REQUEST, "i-2");
    CHECK(suspicionAt(KIND) == Suspicion::Held);
    m_now += 3s;
    CHECK(suspicionAt(KIND) == Suspicion::Suspect);
    crash(REQUEST, "i-3");
    CHECK(suspicionAt(KIND) == Suspicion::Quarantined);
    CHECK(suspicionAnywhere() == Suspicion::Quarantined);
    CHECK(m_table->assess(m_now, REQUEST).retryAfter == Duration::zero());
}

// Guards against one crash that counts as several because several daemons report it.
TEST(SuspectTable, CrashReportedTwiceCountsOnce)
{
    CHECK(crash(REQUEST, "i-1"));
    CHECK_FALSE(crash(REQUEST, "i-1"));
    const auto copy = makeSuspectTable();
    for (const SuspectRecord &record : m_table->records()) {
        CHECK(copy->merge(m_now, record));
        CHECK_FALSE(copy->merge(m_now, record));
    }
    LONGS_EQUAL(1, copy->assess(m_now, REQUEST, KIND).crashes);
    CHECK(copy->digest() == m_table->digest());
}

// Guards against a frequent request that is blamed because it is in progress at every crash.
TEST(SuspectTable, CompletedRequestIsCleared)
{
    crash(REQUEST, "i-1");
    CHECK(m_table->addCompletion(REQUEST, KIND));
    crash(REQUEST, "i-2");
    crash(REQUEST, "i-3");
    crash(REQUEST, "i-4");
    CHECK(suspicionAt(KIND) == Suspicion::None);
    CHECK(suspicionAnywhere() == Suspicion::None);
}

// Guards against a frequent request that is blamed when all servers crash at once.
TEST(SuspectTable, SimultaneousCrashesCountOnce)
{
    for (const char *run : { "i-1", "i-2", "i-3", "i-4" }) {
        m_table->addCrash(m_now, REQUEST, Crash{ UpstreamRunName(run), KIND, m_now, false, false });
    }
    CHECK(suspicionAt(KIND) == Suspicion::Suspect);
    crash(REQUEST, "i-5");
    CHECK(suspicionAt(KIND) == Suspicion::Held);
    crash(REQUEST, "i-6");
    CHECK(suspicionAt(KIND) == Suspicion::Quarantined);
}

TEST(SuspectTable, CompletionsWithoutRecordAreIgnored)
{
    CHECK_FALSE(m_table->addCompletion(REQUEST, KIND));
    CHECK(m_table->isEmpty());
}

// Guards against a request that stays quarantined although its service was fixed.
TEST(SuspectTable, OtherKindOfServerGetsOneTrial)
{
    quarantine();
    CHECK(m_table->addUntried(REQUEST, NEXT_KIND));
    CHECK_FALSE(m_table->addUntried(REQUEST, OTHER_SERVICE));
    m_now += 3s;
    CHECK(m_table->assess(m_now, REQUEST, NEXT_KIND).isTrial);
    CHECK(suspicionAnywhere() == Suspicion::Suspect);
    CHECK(suspicionAt(KIND) == Suspicion::Quarantined);
    crash(REQUEST, "i-4", NEXT_KIND, true);
    CHECK(suspicionAt(NEXT_KIND) == Suspicion::Quarantined);
    CHECK(suspicionAnywhere() == Suspicion::Quarantined);
}

TEST(SuspectTable, CompletionAtNewVersionEndsTheQuarantine)
{
    quarantine();
    m_table->addUntried(REQUEST, NEXT_KIND);
    m_table->addCompletion(REQUEST, NEXT_KIND);
    CHECK(suspicionAt(NEXT_KIND) == Suspicion::None);
    CHECK(suspicionAnywhere() == Suspicion::None);
    CHECK(suspicionAt(KIND) == Suspicion::Quarantined);
}

// Guards against trials that together crash more servers than the quarantine saves.
TEST(SuspectTable, TrialsAreBounded)
{
    quarantine();
    for (int version = 2; version < 5; ++version) {
        m_now += 1min;
        const ServerKind kind{ KIND.service, UpstreamVersion("v" + std::to_string(version)) };
        CHECK(m_table->assess(m_now, REQUEST, kind).isTrial);
        crash(REQUEST, "i-v" + std::to_string(version), kind, true);
    }
    m_now += 1h;
    CHECK(suspicionAt(ServerKind{ KIND.service, UpstreamVersion("v9") }) == Suspicion::Quarantined);
    CHECK(suspicionAt(KIND) == Suspicion::Quarantined);
}

TEST(SuspectTable, QuarantinedRequestGetsTrialAfterInterval)
{
    quarantine();
    m_now += 9min;
    CHECK(suspicionAt(KIND) == Suspicion::Quarantined);
    m_now += 1min;
    CHECK(m_table->assess(m_now, REQUEST, KIND).isTrial);
    crash(REQUEST, "i-4", KIND, true);
    CHECK(suspicionAt(KIND) == Suspicion::Quarantined);
}

TEST(SuspectTable, LiftedQuarantineDoesNotReturnByMerge)
{
    quarantine();
    const auto other = makeSuspectTable();
    other->merge(m_now, *m_table->find(REQUEST));
    CHECK(m_table->lift(m_now, REQUEST));
    CHECK(suspicionAt(KIND) == Suspicion::None);
    // The outdated record of another daemon does not restore the quarantine.
    CHECK_FALSE(m_table->merge(m_now, *other->find(REQUEST)));
    CHECK(other->merge(m_now, *m_table->find(REQUEST)));
    CHECK(other->assess(m_now, REQUEST, KIND).suspicion == Suspicion::None);
    crash(REQUEST, "i-9");
    CHECK(suspicionAt(KIND) == Suspicion::Suspect);
}

TEST(SuspectTable, RecordsExpire)
{
    crash(REQUEST, "i-1");
    crash(OTHER, "i-1");
    m_table->addCompletion(OTHER, KIND);
    m_now += 60s;
    m_table->expire(m_now);
    CHECK_FALSE(m_table->find(OTHER).has_value());
    CHECK(m_table->find(REQUEST).has_value());
    // The record of a daemon that has not expired it yet is not merged again.
    const SuspectRecord late = *m_table->find(REQUEST);
    m_now += 4min;
    m_table->expire(m_now);
    CHECK(m_table->isEmpty());
    CHECK_FALSE(m_table->merge(m_now, late));
}

// Guards against callers that release a request from quarantine with a flood of suspects.
TEST(SuspectTable, FloodOfSuspectsDoesNotEvictQuarantined)
{
    quarantine();
    for (int i = 0; i < 5000; ++i) {
        m_now += 1ms;
        crash(Fingerprint("flood-" + std::to_string(i)), "i-" + std::to_string(i));
    }
    CHECK(suspicionAt(KIND) == Suspicion::Quarantined);
    LONGS_EQUAL(SuspectTableOptions().maxRecords, m_table->records().size());
    CHECK(suspicionAt(KIND, Fingerprint("flood-4999")) == Suspicion::Suspect);
}

// Guards against daemons whose records never converge because each drops different crashes.
TEST(SuspectTable, CrashLimitDropsTheSameCrashesEverywhere)
{
    const auto other = makeSuspectTable();
    for (int i = 0; i < 40; ++i) {
        crash(REQUEST, "i-" + std::to_string(i));
        other->addCrash(
            m_now, REQUEST,
            Crash{ UpstreamRunName("i-" + std::to_string(39 - i)), KIND, m_now, true, false });
    }
    LONGS_EQUAL(SuspectTableOptions().maxCrashesPerRecord, m_table->find(REQUEST)->crashes.size());
    CHECK(other->digest() == m_table->digest());
}

// Guards against a request that is never quarantined because many servers ran it when they crashed
// for the first time.
TEST(SuspectTable, CrashesThatProveNothingAreDroppedFirst)
{
    const auto other = makeSuspectTable();
    const auto add = [&](ISuspectTable &table, const std::string &run, bool wasIsolated) {
        table.addCrash(m_now, REQUEST,
                       Crash{ UpstreamRunName(run), KIND, m_now, wasIsolated, false });
    };
    for (const char *run : { "j-1", "j-2" }) {
        add(*other, run, true);
    }
    for (int i = 0; i < 40; ++i) {
        add(*m_table, "i-" + std::to_string(i), false);
        add(*other, "i-" + std::to_string(39 - i), false);
    }
    CHECK(suspicionAt(KIND) == Suspicion::Suspect);
    for (const char *run : { "j-1", "j-2" }) {
        add(*m_table, run, true);
    }
    CHECK(suspicionAt(KIND) == Suspicion::Quarantined);
    LONGS_EQUAL(SuspectTableOptions().maxCrashesPerRecord, m_table->find(REQUEST)->crashes.size());
    CHECK(other->digest() == m_table->digest());
}
