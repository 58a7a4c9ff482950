#include "coordination/balance/internal/sharetargets.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

constexpr double TARGET = 0.95;
constexpr double TOLERANCE = 1e-9;
const DomainName A("aula-a");
const DomainName B("aula-b");
const DomainName C("aula-c");

double shareOf(const DomainName &own, const DomainName &to, const std::vector<DomainWork> &domains)
{
    const auto shares = targetShares(own, domains, TARGET);
    CHECK(shares.has_value());
    for (const DomainShare &each : *shares) {
        if (each.domain == to) {
            return each.share;
        }
    }
    FAIL("unknown domain");
    return 0;
}

} // namespace

TEST_GROUP(ShareTargets){};

TEST(ShareTargets, NothingIsDividedWhereEachDomainSuffices)
{
    CHECK_FALSE(targetShares(A, { { A, 9, 10 }, { B, 1, 10 } }, TARGET));
}

TEST(ShareTargets, DomainSendsOnlyWhatItsOwnServersCannotDo)
{
    const std::vector<DomainWork> domains{ { A, 19, 10 }, { B, 1, 20 } };
    DOUBLES_EQUAL(0.5, shareOf(A, A, domains), TOLERANCE);
    DOUBLES_EQUAL(0.5, shareOf(A, B, domains), TOLERANCE);
    DOUBLES_EQUAL(1, shareOf(B, B, domains), TOLERANCE);
}

TEST(ShareTargets, ExcessIsDividedByRoom)
{
    const std::vector<DomainWork> domains{ { A, 20, 10 }, { B, 3.5, 10 }, { C, 6.5, 10 } };
    const double toB = shareOf(A, B, domains);
    const double toC = shareOf(A, C, domains);
    CHECK(toB > toC);
    CHECK(toC > 0);
}

TEST(ShareTargets, NothingIsSentToADomainThatIsShort)
{
    const std::vector<DomainWork> domains{ { A, 20, 10 }, { B, 12, 10 }, { C, 0, 30 } };
    DOUBLES_EQUAL(0, shareOf(A, B, domains), TOLERANCE);
}

TEST(ShareTargets, DomainsKeepTheirCallsIfAllAreShort)
{
    DOUBLES_EQUAL(1, shareOf(A, A, { { A, 20, 10 }, { B, 12, 10 } }), TOLERANCE);
}

TEST(ShareTargets, DomainWithoutServersSendsAll)
{
    const std::vector<DomainWork> domains{ { A, 20, 0 }, { B, 1, 10 }, { C, 11, 10 } };
    DOUBLES_EQUAL(0, shareOf(A, A, domains), TOLERANCE);
    DOUBLES_EQUAL(1, shareOf(A, B, domains), TOLERANCE);
}

TEST(ShareTargets, NothingIsDividedWhereOnlyOneDomainHasServers)
{
    CHECK_FALSE(targetShares(A, { { A, 20, 0 }, { B, 1, 10 } }, TARGET));
}
