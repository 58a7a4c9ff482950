#include <string>

#include "coordination/admission/tests/mocks/accountload.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration WARM_UP = seconds(15);
constexpr Duration TIME = seconds(20);
/// What the worst tenth of the other accounts may lose by accounts that exceed their usual demand.
constexpr double MAX_LOSS = 0.05;
constexpr double MIN_USED_ROOM = 0.98;
constexpr double HEAVY_FACTOR = 10;
/// Usual demand over capacity.
constexpr double AT_CAPACITY = 1;
const std::vector<double> ABOVE_CAPACITY = { 1.3, 1.6, 2.0 };

const std::vector<std::size_t> ONE_ACCOUNT = { 20 };
const std::vector<std::size_t> EIGHT_ACCOUNTS = { 5, 15, 25, 35, 45, 55, 65, 75 };

void makeHeavy(AccountLoad &load, const std::vector<std::size_t> &accounts)
{
    for (const std::size_t index : accounts) {
        load.accounts[index].factor = HEAVY_FACTOR;
    }
}

struct Comparison
{
    /// Difference of the mean admitted share of the worst tenth of the other accounts, with the
    /// heavy accounts at their usual demand and at ten times that.
    double loss = 0;
    /// With heavy accounts.
    double usedRoom = 0;
};

/// Mean of several runs.
Comparison compare(AccountLoadOptions options, const std::vector<std::size_t> &heavy)
{
    constexpr std::uint64_t RUNS = 4;
    Comparison mean;
    for (options.seed = 1; options.seed <= RUNS; ++options.seed) {
        AccountLoad calm(options, AccountLoad::makeAccounts());
        calm.measure(WARM_UP, TIME);
        makeHeavy(calm, heavy); // Leaves them out of the worst tenth.
        AccountLoad load(options, AccountLoad::makeAccounts());
        makeHeavy(load, heavy);
        load.measure(WARM_UP, TIME);
        mean.loss += (calm.worstTenth() - load.worstTenth()) / RUNS;
        mean.usedRoom += load.usedRoom() / RUNS;
    }
    return mean;
}

void checkLoss(AccountLoadOptions options, const std::vector<std::size_t> &heavy,
               const std::vector<double> &loads)
{
    for (const double load : loads) {
        options.load = load;
        const Comparison found = compare(options, heavy);
        const std::string text = "load " + std::to_string(load) + ": loss "
            + std::to_string(found.loss) + ", used room " + std::to_string(found.usedRoom);
        CHECK_TEXT(found.loss <= MAX_LOSS, text.c_str());
        CHECK_TEXT(found.usedRoom >= MIN_USED_ROOM, text.c_str());
    }
}

AccountLoadOptions manyEntries()
{
    AccountLoadOptions options;
    options.entries = 76;
    return options;
}

AccountRequest makeRequest()
{
    AccountRequest request;
    request.bottleneck = ServiceName("narrow");
    request.cost = 1e5;
    request.share = 0.5;
    request.room = request.share * request.cost;
    return request;
}

} // namespace

TEST_GROUP(AccountShares){};

// Load: 80 accounts of different sizes at 20 entries; one of them sends ten times its usual.
TEST(AccountShares, OneHeavyAccountCostsOthersLittle)
{
    checkLoss({}, ONE_ACCOUNT, { AT_CAPACITY });
    checkLoss({}, ONE_ACCOUNT, ABOVE_CAPACITY);
}

// Load: as above, with eight heavy accounts.
TEST(AccountShares, EightHeavyAccountsCostOthersLittleAboveCapacity)
{
    checkLoss({}, EIGHT_ACCOUNTS, ABOVE_CAPACITY);
}

// Load: as above, where the usual demand alone just fits.
TEST(AccountShares, EightHeavyAccountsCostOthersLittleAtCapacity)
{
    checkLoss({}, EIGHT_ACCOUNTS, { AT_CAPACITY });
}

// Load: as above at 76 entries, each of which sees an ordinary account once in some seconds.
TEST(AccountShares, ManyEntriesProtectOthersFromEightAccountsAboveCapacity)
{
    checkLoss(manyEntries(), EIGHT_ACCOUNTS, ABOVE_CAPACITY);
}

TEST(AccountShares, ManyEntriesProtectOthersFromEightAccountsAtCapacity)
{
    checkLoss(manyEntries(), EIGHT_ACCOUNTS, { AT_CAPACITY });
}

// Load: as above, where accounts are not told apart: the target is missed by far.
TEST(AccountShares, WithoutSharesHeavyAccountsTakeTheRoomOfOthers)
{
    AccountLoadOptions options;
    options.hasClaims = false;
    CHECK(compare(options, EIGHT_ACCOUNTS).loss > 5 * MAX_LOSS);
}

// Load: 1.5 times the capacity, accounts without limits, i.e. of equal weight.
TEST(AccountShares, AccountsBelowTheLevelAreAdmittedInFullAndNoneStarves)
{
    constexpr double CHANCE = 0.1;
    AccountLoadOptions options;
    options.load = 1.5;
    options.hasEqualWeights = true;
    AccountLoad load(options, AccountLoad::makeAccounts());
    load.measure(WARM_UP, TIME);
    double smallAccounts = 0;
    for (std::size_t i = 60; i < 80; ++i) {
        smallAccounts += load.accounts[i].share() / 20;
    }
    CHECK(smallAccounts >= 1 - CHANCE);
    // A quarter of the share of all, less a tenth of it for chance.
    CHECK(load.accounts[0].share() >= 0.9 * 0.25 / options.load);
    CHECK(load.usedRoom() >= MIN_USED_ROOM);
}

// Load: 1.5 times the capacity; all requests of one account of ordinary size arrive at one entry.
TEST(AccountShares, AccountAtOneEntryGetsAsMuchAsTheOthers)
{
    constexpr std::size_t ACCOUNT = 20;
    AccountLoadOptions options;
    options.load = 1.5;
    AccountLoad load(options, AccountLoad::makeAccounts());
    load.accounts[ACCOUNT].isAtOneEntry = true;
    load.measure(WARM_UP, TIME);
    CHECK(load.accounts[ACCOUNT].share() >= 1 / options.load - MAX_LOSS);
    CHECK(load.accounts[ACCOUNT].share() <= 1 / options.load + 2 * MAX_LOSS);
    CHECK(load.usedRoom() >= MIN_USED_ROOM);
}

// Load: eight heavy accounts stop.
TEST(AccountShares, RoomOfAccountsThatStopGoesToTheOthersAtOnce)
{
    AccountLoadOptions options;
    options.load = 1.3;
    AccountLoad load(options, AccountLoad::makeAccounts());
    makeHeavy(load, EIGHT_ACCOUNTS);
    load.run(WARM_UP);
    for (const std::size_t index : EIGHT_ACCOUNTS) {
        load.accounts[index].factor = 0;
    }
    load.measure(seconds(1), seconds(4));
    CHECK(load.usedRoom() >= MIN_USED_ROOM);
}

// Load: an ordinary account returns after a minute.
TEST(AccountShares, AccountThatReturnsGetsAsMuchAsTheOthers)
{
    constexpr std::size_t ACCOUNT = 20;
    AccountLoadOptions options;
    options.load = 1.5;
    AccountLoad load(options, AccountLoad::makeAccounts());
    load.run(WARM_UP);
    load.accounts[ACCOUNT].factor = 0;
    load.run(seconds(60));
    load.accounts[ACCOUNT].factor = 1;
    load.measure(seconds(0), TIME);
    CHECK(load.accounts[ACCOUNT].share() >= 1 / options.load - MAX_LOSS);
    CHECK(load.usedRoom() >= MIN_USED_ROOM);
}

// Load: two equal accounts far above the level; one sends cheap requests only, the other ones that
// cost four times as much.
TEST(AccountShares, AccountsGetEqualSlotTimeWhateverTheirRequestsCost)
{
    constexpr double TOLERANCE = 0.2;
    AccountLoadOptions options;
    options.costs = { milliseconds(50), milliseconds(200) };
    options.load = 1.3;
    AccountLoad load(options, AccountLoad::makeAccounts());
    for (std::size_t i = 0; i < 2; ++i) {
        load.accounts[i].usual = 0.3;
        load.accounts[i].rule = i;
    }
    load.accounts[0].factor = 20;
    load.accounts[1].factor = 5;
    load.measure(WARM_UP, TIME);
    DOUBLES_EQUAL(1, load.accounts[1].admittedTime / load.accounts[0].admittedTime, TOLERANCE);
    CHECK(load.usedRoom() >= MIN_USED_ROOM);
}

// Load: a fifth of the accounts has a higher priority; eight accounts below are heavy.
TEST(AccountShares, HeavyAccountsTakeNothingFromAPriorityAbove)
{
    AccountLoadOptions options;
    options.load = 1.3;
    AccountLoad load(options, AccountLoad::makeAccounts());
    makeHeavy(load, EIGHT_ACCOUNTS);
    for (std::size_t i = 2; i < load.accounts.size(); i += 10) {
        load.accounts[i].priority = Priority(50);
    }
    load.measure(WARM_UP, TIME);
    for (std::size_t i = 2; i < load.accounts.size(); i += 10) {
        CHECK(load.accounts[i].share() >= 1 - MAX_LOSS);
    }
}

// Load: heavy accounts, most of whose requests are refused. The services must not see less demand.
TEST(AccountShares, AdmittedRequestsRepresentTheRefusedOnes)
{
    constexpr double TOLERANCE = 0.02;
    for (const std::size_t entries : { 20, 76 }) {
        AccountLoadOptions options;
        options.entries = entries;
        options.load = 1.5;
        AccountLoad load(options, AccountLoad::makeAccounts());
        makeHeavy(load, EIGHT_ACCOUNTS);
        load.measure(WARM_UP, TIME);
        DOUBLES_EQUAL(1, load.representedShare(), TOLERANCE);
    }
}

// Load: 20,000 accounts at an entry with state for fewer.
TEST(AccountShares, StateIsBoundedAndForgottenWhenIdle)
{
    AccountSharesOptions options;
    options.maxAccounts = 5000;
    const auto shares = makeAccountShares(options);
    TimePoint now{ seconds(100) };
    for (int i = 0; i < 20000; ++i, now += milliseconds(1)) {
        shares->admit(now, { AccountName("account" + std::to_string(i)), 1, 0 }, makeRequest());
        CHECK(shares->size() <= options.maxAccounts);
    }
    now += options.retention;
    for (int i = 0; i < 5000; ++i, now += milliseconds(1)) {
        shares->admit(now, { AccountName("last"), 1, 0 }, makeRequest());
    }
    LONGS_EQUAL(1, shares->size());
}

// Load: requests without an account, and an account that sends nine times as much.
TEST(AccountShares, RequestsWithoutAnAccountGetTheShareOfTheirRule)
{
    const auto shares = makeAccountShares();
    TimePoint now{ seconds(100) };
    int admitted = 0;
    constexpr int REQUESTS = 10000;
    for (int i = 0; i < REQUESTS; ++i, now += milliseconds(10)) {
        const AccountClaim claim =
            i % 10 == 0 ? AccountClaim() : AccountClaim{ AccountName("large"), 1, 0 };
        const AccountVerdict verdict = shares->admit(now, claim, makeRequest());
        admitted += i % 10 == 0 && verdict.isAdmitted ? 1 : 0;
    }
    DOUBLES_EQUAL(0.5, admitted * 10.0 / REQUESTS, 0.05);
}

TEST(AccountShares, StatusNamesTheAccountsThatAreCut)
{
    const auto shares = makeAccountShares();
    TimePoint now{ seconds(100) };
    for (int i = 0; i < 5000; ++i, now += milliseconds(10)) {
        const AccountName account(i % 4 == 0 ? "small" : "large");
        shares->admit(now, { account, 1, 0 }, makeRequest());
    }
    const auto all = shares->statuses(now, 10);
    LONGS_EQUAL(2, all.size());
    const AccountShareStatus large =
        shares->status(now, AccountName("large"), ServiceName("narrow"), Priority());
    const AccountShareStatus small =
        shares->status(now, AccountName("small"), ServiceName("narrow"), Priority());
    CHECK(large.admittedShare() < 0.6);
    CHECK(large.demandSlots > large.fairSlots);
    CHECK(small.admittedShare() > 0.8);
}

TEST_GROUP(AccountSharesFailures)
{
    AccountLoadOptions m_options;
    void setup() override
    {
        m_options.load = 1.3;
    }

    /// Worst tenth of the accounts after `disturb`, compared with before.
    template <typename Disturb> double lossBy(Disturb disturb)
    {
        AccountLoad load(m_options, AccountLoad::makeAccounts());
        makeHeavy(load, EIGHT_ACCOUNTS);
        load.measure(WARM_UP, TIME);
        const double before = load.worstTenth();
        disturb(load);
        load.measure(seconds(1), TIME);
        CHECK(load.usedRoom() >= MIN_USED_ROOM);
        return before - load.worstTenth();
    }
};

// Failure: entries restart with empty state and take each account for a new one.
TEST(AccountSharesFailures, RestartedEntriesLeaveOthersTheirShare)
{
    const double loss = lossBy([](AccountLoad &load) {
        for (std::size_t i = 0; i < 10; ++i) {
            load.restart(i);
        }
    });
    CHECK(loss <= MAX_LOSS);
}

// Failure: half of the entries and of the servers are cut off from the other half.
TEST(AccountSharesFailures, CutOffDomainLeavesOthersTheirShare)
{
    CHECK(lossBy([](AccountLoad &load) { load.cut(); }) <= MAX_LOSS);
}

// Failure: the processes are paused, and credit for all that time is due at once.
TEST(AccountSharesFailures, PauseLeavesOthersTheirShare)
{
    CHECK(lossBy([](AccountLoad &load) { load.pause(seconds(5)); }) <= MAX_LOSS);
}
