#include "coordination/routing/routerfactory.h"

#include <algorithm>
#include <map>
#include <string>

#include "state/internal/seededrandom.h"
#include "state/rank.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const ServiceName SERVICE("magazzino");
const DomainName OWN("sala-a");
const DomainName OTHER("sala-b");
constexpr std::uint32_t SLOTS = 40;

RouterOptions ownOptions()
{
    RouterOptions options;
    options.domain = OWN;
    return options;
}

/// A simulated server: its behaviour, and what it reports.
struct FakeServer
{
    DomainName domain = OWN;
    Duration latency = 20ms;
    RouteFeedback feedback = RouteFeedback::Answered;
    /// Its reports show no load, whatever is in flight.
    bool isReportEmpty = false;
    Rank floor;
    bool isDraining = false;
    std::uint64_t counter = 1;
    std::uint64_t incarnation = 1;
    std::optional<Duration> coldLeft;
    /// That its gate reports; 0 if the server states none.
    SpeedShare speed;
    std::uint32_t inFlight = 0;
    std::uint32_t chosen = 0;
};

/// An entry that sends calls at a fixed rate to fake servers.
class Entry
{
public:
    explicit Entry(const RouterOptions &options)
        : m_router(makeRouter(options))
    {
    }

    FakeServer &server(const std::string &name) { return m_servers[name]; }
    IRouter &router() { return *m_router; }
    TimePoint now() const { return m_now; }

    void updateMembers()
    {
        std::vector<Member> members;
        for (const auto &[name, server] : m_servers) {
            Member member;
            member.id = DaemonId(name);
            member.incarnation = Incarnation(server.incarnation);
            member.counter = server.counter;
            member.domain = server.domain;
            member.upstreams = { { SERVICE, SLOTS, SLOTS, false, server.coldLeft } };
            members.push_back(member);
        }
        m_router->setMembers(m_now, members);
    }

    void run(Duration length, Duration gap)
    {
        for (auto &[name, server] : m_servers) {
            server.chosen = 0;
        }
        for (const TimePoint end = m_now + length; m_now < end; m_now += gap) {
            endCalls();
            send();
        }
    }

    RouteChoice choose(Rank rank = lowestRankOf(Priority(50)),
                       const std::vector<DaemonId> &excluded = {})
    {
        return m_router->choose(m_now, { SERVICE, rank, excluded }, m_random);
    }

    std::string chooseForSuspect(const std::string &fingerprint,
                                 const std::vector<DaemonId> &excluded = {})
    {
        const RouteRequest request{ SERVICE, lowestRankOf(Priority(50)), excluded,
                                    Fingerprint(fingerprint) };
        return m_router->choose(m_now, request, m_random).daemon.value();
    }

    /// Share of the calls in the last run that went to the server.
    double shareOf(const std::string &name)
    {
        double all = 0;
        for (const auto &[other, server] : m_servers) {
            all += server.chosen;
        }
        return m_servers[name].chosen / std::max(1.0, all);
    }

    void report(const std::string &name)
    {
        const FakeServer &server = m_servers[name];
        LoadReport load;
        load.limit = SLOTS;
        load.speed = server.speed;
        load.inFlight = server.isReportEmpty ? 0 : server.inFlight;
        load.floor = server.floor;
        load.draining = server.isDraining;
        m_router->onLoad(m_now, SERVICE, DaemonId(name), load);
    }

    void advance(Duration time) { m_now += time; }

private:
    struct Call
    {
        std::string server;
        TimePoint sent;
    };

    void send()
    {
        const std::string name = choose().daemon.value();
        if (name.empty()) {
            return;
        }
        FakeServer &server = m_servers[name];
        ++server.chosen;
        ++server.inFlight;
        m_router->onSent(m_now, SERVICE, DaemonId(name));
        m_calls.insert({ m_now + server.latency, { name, m_now } });
    }

    void endCalls()
    {
        while (!m_calls.empty() && m_calls.begin()->first <= m_now) {
            const Call call = m_calls.begin()->second;
            m_calls.erase(m_calls.begin());
            FakeServer &server = m_servers[call.server];
            --server.inFlight;
            m_router->onEnd(m_now, SERVICE, DaemonId(call.server), server.feedback,
                            std::chrono::duration_cast<Duration>(m_now - call.sent), server.speed);
            report(call.server);
        }
    }

    std::unique_ptr<IRouter> m_router;
    SeededRandom m_random{ 7 };
    TimePoint m_now{ 100s };
    std::map<std::string, FakeServer> m_servers;
    std::multimap<TimePoint, Call> m_calls;
};

/// Four servers of the own failure domain.
void addFourServers(Entry &entry)
{
    for (const char *name : { "a", "b", "c", "d" }) {
        entry.server(name) = FakeServer();
    }
    entry.updateMembers();
}

} // namespace

TEST_GROUP(Router){};

TEST(Router, SpreadsEvenlyOverEqualServers)
{
    Entry entry(ownOptions());
    addFourServers(entry);
    entry.run(10s, 1ms);
    for (const char *name : { "a", "b", "c", "d" }) {
        CHECK(entry.shareOf(name) > 0.2);
    }
}

// One server is ten times slower than the others and reports that it is idle. A quarter of all
// calls would be ten times slower. The entry counts its own calls to the server and their latency.
TEST(Router, SlowServerThatReportsNoLoadGetsFewCalls)
{
    for (const bool isOn : { true, false }) {
        RouterOptions options = ownOptions();
        options.usesLocalObservations = isOn;
        Entry entry(options);
        addFourServers(entry);
        entry.server("a").latency = 200ms;
        entry.server("a").isReportEmpty = true;
        entry.run(10s, 1ms);
        CHECK_EQUAL(isOn, entry.shareOf("a") < 0.1);
    }
}

// The load is close to the capacity of two servers of different speed. The slow one has to be
// nearly full as well; otherwise the fast one is overloaded and refuses calls while slots are free.
TEST(Router, SlowServerIsUsedCloseToItsCapacity)
{
    Entry entry(ownOptions());
    entry.server("fast") = FakeServer();
    entry.server("slow") = FakeServer();
    entry.server("slow").latency = 40ms;
    entry.updateMembers();
    entry.run(4s, 370us); // 2,700 of 3,000 a second
    std::uint32_t fast = 0;
    std::uint32_t slow = 0;
    constexpr std::uint32_t SAMPLES = 400;
    for (std::uint32_t i = 0; i < SAMPLES; ++i) {
        entry.run(5ms, 370us);
        fast += entry.server("fast").inFlight;
        slow += entry.server("slow").inFlight;
    }
    CHECK(slow / SAMPLES > SLOTS * 3 / 4);
    CHECK(fast / SAMPLES <= SLOTS);
}

// One server answers each call with an error at once. It never has calls in flight, so by load
// alone it is the best choice, and most calls would fail.
TEST(Router, ServerThatFailsFastGetsFewCalls)
{
    for (const bool isOn : { true, false }) {
        RouterOptions options = ownOptions();
        options.hasErrorPenalty = isOn;
        Entry entry(options);
        addFourServers(entry);
        entry.server("a").latency = 1ms;
        entry.server("a").feedback = RouteFeedback::UpstreamError;
        entry.run(10s, 1ms);
        CHECK_EQUAL(isOn, entry.shareOf("a") < 0.02);
        CHECK_EQUAL(!isOn, entry.shareOf("a") > 0.25);
    }
}

TEST(Router, RecoveredServerGetsItsShareBack)
{
    Entry entry(ownOptions());
    addFourServers(entry);
    entry.server("a").feedback = RouteFeedback::UpstreamError;
    entry.run(10s, 1ms);
    entry.server("a").feedback = RouteFeedback::Answered;
    entry.run(RouterOptions().maxEjectionTime + 5s, 1ms);
    entry.run(5s, 1ms);
    CHECK(entry.shareOf("a") > 0.2);
}

// A service below refuses most calls, so all servers answer with errors. If the router ejected
// servers for that, the overload would spread to this service.
TEST(Router, NoServerIsEjectedWhileAllFailAlike)
{
    Entry entry(ownOptions());
    addFourServers(entry);
    for (const char *name : { "a", "b", "c", "d" }) {
        entry.server(name).feedback = RouteFeedback::UpstreamError;
    }
    for (int i = 0; i < 50; ++i) {
        entry.run(100ms, 500us);
        for (const char *name : { "a", "b", "c", "d" }) {
            CHECK(entry.server(name).chosen > 0);
        }
    }
}

// A server hangs, and each call to it times out. It is ejected, and then probed by one call at a
// time, so that at most one caller waits in vain.
TEST(Router, HangingServerIsProbedByOneCallAtATime)
{
    Entry entry(ownOptions());
    addFourServers(entry);
    entry.server("a").latency = 500ms;
    entry.server("a").feedback = RouteFeedback::TimedOut;
    entry.run(2s, 1ms);
    for (int i = 0; i < 20000; ++i) {
        entry.run(1ms, 1ms);
        CHECK(entry.server("a").inFlight <= 1);
    }
    entry.server("a").feedback = RouteFeedback::Answered;
    entry.server("a").latency = 20ms;
    entry.run(20s, 1ms);
    entry.run(1s, 1ms);
    CHECK(entry.shareOf("a") > 0.2);
}

TEST(Router, ColdServerRampsUpToItsShare)
{
    for (const bool isOn : { true, false }) {
        RouterOptions options = ownOptions();
        options.hasSlowStart = isOn;
        Entry entry(options);
        addFourServers(entry);
        entry.run(2s, 1ms);
        entry.server("e") = FakeServer();
        entry.updateMembers();
        entry.run(1s, 1ms);
        CHECK_EQUAL(isOn, entry.shareOf("e") < 0.12);
        entry.run(RouterOptions().slowStartTime, 1ms);
        entry.run(5s, 1ms);
        CHECK(entry.shareOf("e") > 0.15);
    }
}

// A daemon restarts while its server keeps running. The server is not cold: with a tenth of its
// share for seconds, each restart would cost the service a server.
TEST(Router, ServerThatReportsWarmGetsItsShareAfterADaemonRestart)
{
    Entry entry(ownOptions());
    addFourServers(entry);
    for (const char *name : { "a", "b", "c", "d" }) {
        entry.server(name).coldLeft = Duration(0);
    }
    entry.updateMembers();
    entry.run(2s, 1ms);
    entry.server("a").incarnation = 2;
    entry.updateMembers();
    entry.run(1s, 1ms);
    CHECK(entry.shareOf("a") > 0.2);
}

// A server is replaced while its daemon keeps running. The new server reports that it is cold.
TEST(Router, ServerThatReportsColdGetsLessUntilItIsWarm)
{
    Entry entry(ownOptions());
    addFourServers(entry);
    entry.run(2s, 1ms);
    entry.server("a").coldLeft = 3s;
    entry.server("a").counter = 2;
    entry.updateMembers();
    entry.run(500ms, 200us);
    CHECK(entry.shareOf("a") < 0.2);
    entry.run(4s, 200us);
    entry.run(1s, 200us);
    CHECK(entry.shareOf("a") > 0.22);
}

TEST(Router, OwnDomainIsPreferredAndSpillsOverWhileSaturated)
{
    for (const bool isOn : { true, false }) {
        RouterOptions options = ownOptions();
        options.prefersOwnDomain = isOn;
        Entry entry(options);
        entry.server("near") = FakeServer();
        entry.server("far") = FakeServer();
        entry.server("far").domain = OTHER;
        entry.updateMembers();
        entry.run(2s, 1ms); // 20 of 40 slots
        CHECK_EQUAL(isOn, entry.shareOf("near") == 1);
        entry.run(2s, 400us); // 50 of 40 slots
        CHECK(entry.shareOf("far") > 0.1);
        CHECK(entry.server("near").inFlight <= SLOTS);
        entry.run(1s, 1ms);
        entry.run(2s, 1ms);
        CHECK_EQUAL(isOn, entry.shareOf("near") == 1);
    }
}

// A failure domain is cut off, and connections to the three servers there hang until they time out.
// The own server is full, so calls spill over. Each of them would lose the time of a connect and
// then be refused, as ejection always keeps half of the servers. Recently unreachable servers are
// therefore avoided, except for an occasional probe.
TEST(Router, UnreachableServersAreAvoidedHoweverManyTheyAre)
{
    Entry entry(ownOptions());
    entry.server("near") = FakeServer();
    for (const char *name : { "far1", "far2", "far3" }) {
        entry.server(name).domain = OTHER;
        entry.server(name).feedback = RouteFeedback::Unreachable;
    }
    entry.updateMembers();
    entry.run(4s, 400us); // 50 of 40 slots
    entry.run(2s, 400us);
    CHECK(entry.shareOf("near") > 0.98);

    for (const char *name : { "far1", "far2", "far3" }) {
        entry.server(name).feedback = RouteFeedback::Answered;
    }
    entry.run(4s, 400us);
    entry.run(1s, 400us);
    CHECK(entry.shareOf("near") < 0.9);
}

// A call refused by the own server fails at once while no other server is reachable, until the
// unreachable one is due for another try. New calls still probe it; otherwise its recovery would go
// unnoticed.
TEST(Router, RefusedCallIsNotSentToAnUnreachableServer)
{
    Entry entry(ownOptions());
    entry.server("near") = FakeServer();
    entry.server("far") = FakeServer();
    entry.server("far").domain = OTHER;
    entry.updateMembers();
    entry.router().onSent(entry.now(), SERVICE, DaemonId("far"));
    entry.router().onEnd(entry.now(), SERVICE, DaemonId("far"), RouteFeedback::Unreachable, 250ms,
                         SpeedShare());
    const Rank rank = lowestRankOf(Priority(50));
    CHECK(entry.choose(rank, { DaemonId("near") }).daemon.value().empty());
    entry.advance(RouterOptions().unreachableTime);
    CHECK(entry.choose(rank, { DaemonId("near") }).daemon == DaemonId("far"));
}

TEST(Router, DrainingServerIsAvoidedUntilANewerMemberRecord)
{
    Entry entry(ownOptions());
    addFourServers(entry);
    entry.server("a").isDraining = true;
    entry.report("a");
    entry.run(1s, 1ms);
    CHECK_EQUAL(0U, entry.server("a").chosen);

    entry.updateMembers();
    entry.run(1s, 1ms);
    CHECK_EQUAL(0U, entry.server("a").chosen);

    entry.server("a").isDraining = false;
    entry.server("a").counter = 2;
    entry.updateMembers();
    entry.run(5s, 1ms);
    CHECK(entry.shareOf("a") > 0.2);
}

TEST(Router, ExcludedServersAreNotChosen)
{
    Entry entry(ownOptions());
    addFourServers(entry);
    const std::vector<DaemonId> excluded{ DaemonId("a"), DaemonId("b"), DaemonId("d") };
    for (int i = 0; i < 100; ++i) {
        CHECK(entry.choose(Rank(), excluded).daemon == DaemonId("c"));
    }
    const RouteChoice none =
        entry.choose(Rank(), { DaemonId("a"), DaemonId("b"), DaemonId("c"), DaemonId("d") });
    CHECK(none.daemon.value().empty());
    CHECK(none.reason == Reason::NoServer);
}

TEST(Router, FloorIsTheLowestOfAllServersAndDecaysWithAge)
{
    const Rank high = lowestRankOf(Priority(90));
    const Rank middle = lowestRankOf(Priority(50));
    Entry entry(ownOptions());
    addFourServers(entry);
    for (const char *name : { "a", "b", "c" }) {
        entry.server(name).floor = high;
        entry.report(name);
    }
    CHECK(entry.router().floor(entry.now(), SERVICE) == Rank());
    CHECK(entry.choose(middle).daemon == DaemonId("d"));

    entry.server("d").floor = middle;
    entry.report("d");
    CHECK(entry.router().floor(entry.now(), SERVICE) == middle);
    const RouteChoice refused = entry.choose(lowestRankOf(Priority(10)));
    CHECK(refused.daemon.value().empty());
    CHECK(refused.reason == Reason::BelowFloor);
    CHECK(refused.retryAfter > Duration(0));

    // Without further reports no call may be refused forever.
    entry.advance(RouterOptions().floorHold + RouterOptions().floorDecay);
    CHECK(entry.router().floor(entry.now(), SERVICE) == Rank());
    CHECK(!entry.choose(Rank()).daemon.value().empty());
}

TEST(Router, NoCallIsRefusedEarlyWithoutFloor)
{
    RouterOptions options = ownOptions();
    options.hasFloor = false;
    Entry entry(options);
    addFourServers(entry);
    for (const char *name : { "a", "b", "c", "d" }) {
        entry.server(name).floor = lowestRankOf(Priority(90));
        entry.report(name);
    }
    CHECK(entry.router().floor(entry.now(), SERVICE) == Rank());
    CHECK(!entry.choose(Rank()).daemon.value().empty());
}

// Choosing the better of two random servers keeps queues short; one random choice does not.
TEST(Router, TwoChoicesKeepTheBusiestServerLessBusyThanOne)
{
    std::uint32_t busiest[2] = {};
    for (const bool isOn : { false, true }) {
        RouterOptions options = ownOptions();
        options.usesTwoChoices = isOn;
        Entry entry(options);
        addFourServers(entry);
        for (int i = 0; i < 2000; ++i) {
            entry.run(1ms, 200us); // 100 calls in flight
            for (const char *name : { "a", "b", "c", "d" }) {
                busiest[isOn ? 1 : 0] =
                    std::max(busiest[isOn ? 1 : 0], entry.server(name).inFlight);
            }
        }
    }
    CHECK(busiest[1] + 5 < busiest[0]);
}

TEST(Router, ServiceWithoutServersIsReported)
{
    Entry entry(ownOptions());
    CHECK(entry.choose().reason == Reason::NoServer);
    addFourServers(entry);
    entry.router().setMembers(entry.now(), {});
    CHECK(entry.choose().reason == Reason::NoServer);
}

// Guards against simultaneous copies of a request that crash one server each.
TEST(Router, AllEntriesSendASuspectToOneServer)
{
    Entry a(ownOptions());
    RouterOptions elsewhere;
    elsewhere.domain = OTHER;
    Entry b(elsewhere);
    for (const char *name : { "s1", "s2", "s3", "s4" }) {
        a.server(name).domain = name < std::string("s3") ? OWN : OTHER;
        b.server(name).domain = a.server(name).domain;
    }
    a.updateMembers();
    b.updateMembers();
    std::map<std::string, int> chosen;
    for (int i = 0; i < 200; ++i) {
        const std::string fingerprint = "f" + std::to_string(i);
        const std::string first = a.chooseForSuspect(fingerprint);
        CHECK_EQUAL(first, b.chooseForSuspect(fingerprint));
        CHECK(first != a.chooseForSuspect(fingerprint, { DaemonId(first) }));
        ++chosen[first];
    }
    for (const auto &[name, count] : chosen) {
        CHECK_COMPARE(count, >, 25);
    }
    LONGS_EQUAL(4, chosen.size());
}

// Two servers state that they are slow; the one with the higher usual speed is faster all the same.
// Guards against a base speed that is learned from latencies while a server is slow.
TEST(Router, UsualLatencyIsLearnedApartFromThePresentSpeed)
{
    Entry entry(ownOptions());
    for (const char *name : { "slow", "usual" }) {
        entry.server(name) = FakeServer();
        entry.server(name).speed = USUAL_SPEED;
    }
    entry.updateMembers();
    entry.run(5s, 5ms);
    DOUBLES_EQUAL(0.5, entry.shareOf("slow"), 0.1);
    entry.server("slow").speed = SpeedShare(200);
    entry.server("slow").latency = 100ms;
    entry.run(1s, 2ms);
    entry.run(5s, 2ms);
    CHECK(entry.shareOf("slow") < 0.2);
    // The first report of its usual speed is enough.
    entry.server("slow").speed = USUAL_SPEED;
    entry.server("slow").latency = 20ms;
    entry.report("slow");
    entry.run(200ms, 2ms);
    CHECK(entry.shareOf("slow") > 0.35);
}

TEST(Router, CallsAreDividedByTheSharesOfDomains)
{
    Entry entry(ownOptions());
    for (const char *name : { "s1", "s2", "s3", "s4" }) {
        entry.server(name).domain = name < std::string("s3") ? OWN : OTHER;
    }
    entry.updateMembers();
    entry.router().setShares({ { SERVICE, { { { OWN, 0.75 }, { OTHER, 0.25 } }, entry.now() } } });
    entry.run(1s, 2ms);
    DOUBLES_EQUAL(0.25, entry.shareOf("s3") + entry.shareOf("s4"), 0.005);
    const RouteChoice choice = [&entry] {
        RouteChoice each = entry.choose();
        while (std::string(each.why) != "balance") {
            each = entry.choose();
        }
        return each;
    }();
    STRCMP_EQUAL("domain_share", choice.inputs.at(0).name);
    DOUBLES_EQUAL(0.25, choice.inputs.at(0).value, 1e-9);
    entry.router().setShares({});
    entry.run(1s, 2ms);
    DOUBLES_EQUAL(0, entry.shareOf("s3") + entry.shareOf("s4"), 0);
}

// Guards against calls that are lost to a domain that is cut off but still has a share.
TEST(Router, CallsOfAnUnreachableDomainStayInTheOwnOne)
{
    Entry entry(ownOptions());
    entry.server("s1").domain = OWN;
    entry.server("s2").domain = OTHER;
    entry.server("s2").feedback = RouteFeedback::Unreachable;
    entry.updateMembers();
    entry.router().setShares({ { SERVICE, { { { OWN, 0.5 }, { OTHER, 0.5 } }, entry.now() } } });
    entry.run(2s, 2ms);
    CHECK_COMPARE(entry.shareOf("s2"), <, 0.02);
}

TEST(Router, CallGoesToAnotherServerOfItsDomainBeforeItSpills)
{
    Entry entry(ownOptions());
    for (const char *name : { "s1", "s2", "s3", "s4", "s5" }) {
        FakeServer &server = entry.server(name);
        server.domain = name < std::string("s5") ? OWN : OTHER;
        server.inFlight = name < std::string("s4") ? 2 * SLOTS : 0;
    }
    entry.updateMembers();
    entry.router().setShares({ { SERVICE, { { { OWN, 1 }, { OTHER, 0 } }, entry.now() } } });
    for (const char *name : { "s1", "s2", "s3", "s4", "s5" }) {
        entry.report(name);
    }
    for (int i = 0; i < 20; ++i) {
        STRCMP_EQUAL("s4", entry.choose().daemon.value().c_str());
    }
}
