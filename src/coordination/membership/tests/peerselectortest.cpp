#include "coordination/membership/internal/peerselector.h"

#include <map>
#include <set>

#include "coordination/membership/internal/seedlist.h"
#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const DomainName LOCAL("here");
const DomainName REMOTE("there");
const DomainName THIRD("beyond");

MemberEntry makeEntry(const DomainName &domain, int number)
{
    MemberEntry entry;
    entry.member.id = DaemonId(domain.value() + '-' + std::to_string(number));
    entry.member.domain = domain;
    entry.member.peerEndpoint = Endpoint{ "10.0.0.1", static_cast<std::uint16_t>(7000 + number) };
    return entry;
}

} // namespace

TEST_GROUP(PeerSelector)
{
    MemberTable m_table;
    SeededRandom m_random{ 4 };
    PeerSelector m_peerSelector{ m_table, DaemonId("here-0"), LOCAL };

    void add(const DomainName &domain, int count)
    {
        for (int i = 0; i < count; ++i) {
            m_table.put(makeEntry(domain, i));
        }
        m_peerSelector.markStale();
    }
    /// Number of the next `count` selected members, by failure domain.
    std::map<DomainName, int> selectMembers(int count)
    {
        std::map<DomainName, int> selected;
        for (int i = 0; i < count; ++i) {
            ++selected[m_peerSelector.next()->member.domain];
        }
        return selected;
    }
};

// The observer is one of the eleven local members and is never selected itself.
TEST(PeerSelector, SelectsOneMemberOfEachRemoteDomainPerLocalRound)
{
    add(LOCAL, 11);
    add(REMOTE, 30);
    add(THIRD, 2);
    constexpr int ROUNDS = 100;
    std::map<DomainName, int> selected = selectMembers(12 * ROUNDS);
    LONGS_EQUAL(0, (selected[LOCAL] - 10 * ROUNDS) / 2);
    LONGS_EQUAL(0, (selected[REMOTE] - ROUNDS) / 2);
    LONGS_EQUAL(0, (selected[THIRD] - ROUNDS) / 2);
}

TEST(PeerSelector, SelectsRemoteMembersWithoutLocalMembers)
{
    add(REMOTE, 3);
    CHECK_EQUAL(5, selectMembers(5)[REMOTE]);
}

// All other local members are dead, and the local ring is empty or has dead members only. Remote
// members must still be selected, or the daemon would be isolated while the store is down.
TEST(PeerSelector, SkipsDeadMembers)
{
    add(LOCAL, 3);
    add(REMOTE, 2);
    m_peerSelector.refresh();
    for (int i = 1; i < 3; ++i) {
        MemberEntry dead = makeEntry(LOCAL, i);
        dead.health = MemberHealth::Dead;
        m_table.put(dead);
    }
    for (int i = 0; i < 10; ++i) {
        const MemberEntry *next = m_peerSelector.next();
        CHECK(next == nullptr || next->member.domain == REMOTE);
    }
}

TEST(PeerSelector, PingRoundVisitsEachLocalMemberOnce)
{
    add(LOCAL, 9);
    std::set<DaemonId> pinged;
    for (int i = 0; i < 8; ++i) {
        pinged.insert(m_peerSelector.nextToPing(m_random)->member.id);
    }
    CHECK_EQUAL(8, pinged.size());
}

// The first round must include remote members: the loss of a whole domain shortly after the start
// can only be detected from other domains.
TEST(PeerSelector, FirstPingRoundIncludesRemoteDomains)
{
    add(LOCAL, 50);
    add(REMOTE, 50);
    int remote = 0;
    for (int i = 0; i < 50; ++i) {
        remote += m_peerSelector.nextToPing(m_random)->member.domain == REMOTE ? 1 : 0;
    }
    CHECK_EQUAL(1, remote);
}

TEST(PeerSelector, SelectsNothingFromAnEmptyTable)
{
    CHECK(m_peerSelector.next() == nullptr);
    CHECK(m_peerSelector.nextToPing(m_random) == nullptr);
    CHECK(m_peerSelector.next(3, DaemonId()).empty());
}

TEST_GROUP(SeedList)
{
    MemberTable m_table;
    SeededRandom m_random{ 4 };
    SeedList m_seeds{ LOCAL, 4 };

    std::set<Endpoint> chooseRepeatedly(bool isRemoteAllowed)
    {
        std::set<Endpoint> endpoints;
        for (int i = 0; i < 50; ++i) {
            if (const auto endpoint = m_seeds.choose(m_table, isRemoteAllowed, m_random)) {
                endpoints.insert(*endpoint);
            }
        }
        return endpoints;
    }
};

TEST(SeedList, SelectsRemoteSeedsOnlyIfAllowed)
{
    const Endpoint local{ "10.0.0.1", 1 };
    const Endpoint remote{ "10.0.0.1", 2 };
    const Endpoint unknown{ "10.0.0.1", 3 };
    m_seeds.add({ local, LOCAL });
    m_seeds.add({ remote, REMOTE });
    m_seeds.add({ unknown, DomainName() });
    CHECK(chooseRepeatedly(false) == (std::set<Endpoint>{ local, unknown }));
    CHECK(chooseRepeatedly(true) == (std::set<Endpoint>{ local, remote, unknown }));
    CHECK_EQUAL(1, m_seeds.localCount());
}

TEST(SeedList, PrefersUncontactedSeeds)
{
    const Endpoint first{ "10.0.0.1", 1 };
    const Endpoint second{ "10.0.0.1", 2 };
    m_seeds.add({ first, LOCAL });
    m_seeds.add({ second, LOCAL });
    m_seeds.markContacted(first);
    CHECK(chooseRepeatedly(false) == std::set<Endpoint>{ second });
    m_seeds.markContacted(second);
    CHECK_FALSE(m_seeds.hasUncontacted());
    CHECK_EQUAL(2, chooseRepeatedly(false).size());
}

TEST(SeedList, SkipsSeedsOfLiveMembers)
{
    const MemberEntry up = makeEntry(LOCAL, 1);
    m_table.put(up);
    m_seeds.add({ up.member.peerEndpoint, LOCAL });
    CHECK(chooseRepeatedly(true).empty());
}

TEST(SeedList, HoldsAtMostTheConfiguredNumberOfSeeds)
{
    for (std::uint16_t port = 1; port < 10; ++port) {
        m_seeds.add({ Endpoint{ "10.0.0.1", port }, LOCAL });
    }
    CHECK_EQUAL(4, chooseRepeatedly(true).size());
}
