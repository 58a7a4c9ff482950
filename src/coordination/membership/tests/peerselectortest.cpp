#include "coordination/membership/internal/contactrings.h"

#include <map>
#include <set>

#include "coordination/membership/internal/seedlist.h"
#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const DomainName HERE("here");
const DomainName THERE("there");
const DomainName BEYOND("beyond");

MemberEntry makeEntry(const DomainName &domain, int number)
{
    MemberEntry entry;
    entry.member.id = DaemonId(domain.value() + '-' + std::to_string(number));
    entry.member.domain = domain;
    entry.member.peerEndpoint = Endpoint{ "10.0.0.1", static_cast<std::uint16_t>(7000 + number) };
    return entry;
}

} // namespace

TEST_GROUP(ContactRings)
{
    MemberTable m_table;
    SeededRandom m_random{ 4 };
    ContactRings m_rings{ m_table, DaemonId("here-0"), HERE };

    void add(const DomainName &domain, int count)
    {
        for (int i = 0; i < count; ++i) {
            m_table.put(makeEntry(domain, i));
        }
        m_rings.markStale();
    }
    /// How many of the next contacts are in each failure domain.
    std::map<DomainName, int> contact(int count)
    {
        std::map<DomainName, int> contacts;
        for (int i = 0; i < count; ++i) {
            ++contacts[m_rings.next()->member.domain];
        }
        return contacts;
    }
};

// The member itself, with which nobody speaks, is the eleventh of its domain.
TEST(ContactRings, EachOtherDomainHasOneTurnForARoundOfTheOwn)
{
    add(HERE, 11);
    add(THERE, 30);
    add(BEYOND, 2);
    constexpr int ROUNDS = 100;
    std::map<DomainName, int> contacts = contact(12 * ROUNDS);
    LONGS_EQUAL(0, (contacts[HERE] - 10 * ROUNDS) / 2);
    LONGS_EQUAL(0, (contacts[THERE] - ROUNDS) / 2);
    LONGS_EQUAL(0, (contacts[BEYOND] - ROUNDS) / 2);
}

TEST(ContactRings, ADaemonAloneInItsDomainSpeaksWithTheOthers)
{
    add(THERE, 3);
    CHECK_EQUAL(5, contact(5)[THERE]);
}

// 1. All others of the failure domain have died, and its ring is empty or holds the dead alone.
// 2. The daemon still speaks with other domains; else it would be alone with a store that is down.
TEST(ContactRings, TheDeadAreLeftOut)
{
    add(HERE, 3);
    add(THERE, 2);
    m_rings.refresh();
    for (int i = 1; i < 3; ++i) {
        MemberEntry dead = makeEntry(HERE, i);
        dead.health = MemberHealth::Dead;
        m_table.put(dead);
    }
    for (int i = 0; i < 10; ++i) {
        const MemberEntry *next = m_rings.next();
        CHECK(next == nullptr || next->member.domain == THERE);
    }
}

TEST(ContactRings, ARoundOfPingsReachesEachNearMemberOnce)
{
    add(HERE, 9);
    std::set<DaemonId> pinged;
    for (int i = 0; i < 8; ++i) {
        pinged.insert(m_rings.nextToPing(m_random)->member.id);
    }
    CHECK_EQUAL(8, pinged.size());
}

// The first round too: a domain that is lost while all are young must be noticed from outside.
TEST(ContactRings, PingsOfOtherDomainsTakeTheirTurnFromTheFirst)
{
    add(HERE, 50);
    add(THERE, 50);
    int far = 0;
    for (int i = 0; i < 50; ++i) {
        far += m_rings.nextToPing(m_random)->member.domain == THERE ? 1 : 0;
    }
    CHECK_EQUAL(1, far);
}

TEST(ContactRings, NobodyIsThere)
{
    CHECK(m_rings.next() == nullptr);
    CHECK(m_rings.nextToPing(m_random) == nullptr);
    CHECK(m_rings.next(3, DaemonId()).empty());
}

TEST_GROUP(SeedList)
{
    MemberTable m_table;
    SeededRandom m_random{ 4 };
    SeedList m_seeds{ HERE, 4 };

    std::set<Endpoint> chosen(bool isFarWanted)
    {
        std::set<Endpoint> endpoints;
        for (int i = 0; i < 50; ++i) {
            if (const auto endpoint = m_seeds.choose(m_table, isFarWanted, m_random)) {
                endpoints.insert(*endpoint);
            }
        }
        return endpoints;
    }
};

TEST(SeedList, AsksItsOwnDomainUnlessOthersAreWanted)
{
    const Endpoint near{ "10.0.0.1", 1 };
    const Endpoint far{ "10.0.0.1", 2 };
    const Endpoint unknown{ "10.0.0.1", 3 };
    m_seeds.add({ near, HERE });
    m_seeds.add({ far, THERE });
    m_seeds.add({ unknown, DomainName() });
    CHECK(chosen(false) == (std::set<Endpoint>{ near, unknown }));
    CHECK(chosen(true) == (std::set<Endpoint>{ near, far, unknown }));
    CHECK_EQUAL(1, m_seeds.nearCount());
}

TEST(SeedList, AsksThoseWhoHaveNotSpokenFirst)
{
    const Endpoint first{ "10.0.0.1", 1 };
    const Endpoint second{ "10.0.0.1", 2 };
    m_seeds.add({ first, HERE });
    m_seeds.add({ second, HERE });
    m_seeds.note(first);
    CHECK(chosen(false) == std::set<Endpoint>{ second });
    m_seeds.note(second);
    CHECK_FALSE(m_seeds.hasSilent());
    CHECK_EQUAL(2, chosen(false).size());
}

TEST(SeedList, LeavesOutWhoIsKnownToBeUp)
{
    const MemberEntry up = makeEntry(HERE, 1);
    m_table.put(up);
    m_seeds.add({ up.member.peerEndpoint, HERE });
    CHECK(chosen(true).empty());
}

TEST(SeedList, IsBounded)
{
    for (std::uint16_t port = 1; port < 10; ++port) {
        m_seeds.add({ Endpoint{ "10.0.0.1", port }, HERE });
    }
    CHECK_EQUAL(4, chosen(true).size());
}
