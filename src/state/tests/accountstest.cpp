#include "state/configuration.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

AccountSpec makeAccount(const char *name, std::vector<KeyDigest> keys,
                        std::optional<Priority> priority = std::nullopt)
{
    AccountSpec account;
    account.name = AccountName(name);
    account.keys = std::move(keys);
    account.priority = priority;
    return account;
}

RuleSpec makeRule(Priority priority)
{
    RuleSpec rule;
    rule.priority = priority;
    return rule;
}

} // namespace

TEST_GROUP(Accounts){};

TEST(Accounts, KeyIndexFindsTheAccountOfEachKey)
{
    const KeySalt salt = makeKeySalt();
    const AccountKey old = makeAccountKey();
    const AccountKey next = makeAccountKey();
    const auto index =
        KeyIndex::make({ makeAccount("a", { digestOf(makeAccountKey(), salt) }),
                         makeAccount("b", { digestOf(old, salt), digestOf(next, salt) }) },
                       salt);
    CHECK_EQUAL(1, *index->find(old));
    CHECK_EQUAL(1, *index->find(next));
    CHECK_FALSE(index->find(makeAccountKey()).has_value());
    CHECK_FALSE(index->find(AccountKey()).has_value());
    CHECK_FALSE(KeyIndex().find(old).has_value());
}

// Guards against a caller that is assigned to the wrong account because two accounts share a key.
TEST(Accounts, KeySharedByTwoAccountsIsRejected)
{
    const KeySalt salt = makeKeySalt();
    const KeyDigest shared = digestOf(AccountKey("k"), salt);
    const auto index =
        KeyIndex::make({ makeAccount("a", { shared }), makeAccount("b", { shared }) }, salt);
    CHECK_FALSE(index.has_value());
    STRCMP_CONTAINS("accounts a and b hold the same key", index.error().text.c_str());
}

TEST(Accounts, DigestsDependOnTheSalt)
{
    CHECK(digestOf(AccountKey("k"), makeKeySalt()) != digestOf(AccountKey("k"), makeKeySalt()));
    const KeyDigest digest = digestOf(AccountKey("k"), KeySalt{});
    CHECK(digestFromHex(toHex(digest)) == digest);
    for (const char *wrong : { "", "00", "zz", "000102030405060708090a0b0c0d0e0f10" }) {
        CHECK_FALSE(digestFromHex(wrong).has_value());
    }
}

// Guards against rule priorities being ignored among accounts of equal priority.
TEST(Accounts, AccountPriorityOutranksRulePriority)
{
    Rules rules;
    rules.rules = { makeRule(Priority(98)), makeRule(Priority(100)) };
    rules.accounts = { makeAccount("high", {}, Priority(100)),
                       makeAccount("low", {}, Priority(99)) };
    const PriorityOrder order(rules);
    const Priority high(100);
    const Priority low(99);
    CHECK(order.of(high, Priority(100)) == HIGHEST_PRIORITY);
    CHECK(order.of(high, Priority(98)) > order.of(low, Priority(100)));
    CHECK(order.of(low, Priority(100)) > order.of(low, Priority(98)));
    CHECK(order.of(std::nullopt, Priority(98)) == order.of(high, Priority(98)));
}

TEST(Accounts, WithoutAccountsRulePriorityApplies)
{
    Rules rules;
    rules.rules = { makeRule(Priority(40)), makeRule(Priority(7)) };
    CHECK(PriorityOrder(rules).of(std::nullopt, Priority(7)) == Priority(7));
}
