#include "coordination/admission/internal/lossbasedadmission.h"
#include "coordination/admission/irootadmission.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const ServiceName NARROW("narrow");
const Priority HIGH_PRIORITY(90);
const Priority LOW_PRIORITY(10);
const std::vector<TreeCalls> FOUR_CALLS{ { NARROW, 4 } };
const std::vector<TreeCalls> EIGHT_CALLS{ { NARROW, 8 } };
const std::vector<TreeCalls> ONE_CALL{ { NARROW, 1 } };

ServiceUsage lossOf(std::uint32_t thousandths)
{
    return ServiceUsage{ NARROW, 15ms, DemandLoad(600), LossShare(thousandths), 1 };
}

} // namespace

TEST_GROUP(LossBasedAdmission)
{
    TimePoint m_now{ 10s };
    LossBasedAdmissionOptions m_options;
    std::unique_ptr<LossBasedAdmission> m_lossAdmission;

    void setup() override
    {
        m_options.retryRatio = 0.2;
        m_lossAdmission = std::make_unique<LossBasedAdmission>(m_options);
    }

    /// Two important requests with four calls and four minor ones with eight arrive every 10 ms.
    void run(Duration time, std::uint32_t thousandths)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += 10ms) {
            m_lossAdmission->onReport(m_now, lossOf(thousandths));
            for (int i = 0; i < 2; ++i) {
                m_highPriorityShare = m_lossAdmission->onArrival(m_now, HIGH_PRIORITY, FOUR_CALLS);
                m_lowPriorityShare = m_lossAdmission->onArrival(m_now, LOW_PRIORITY, EIGHT_CALLS);
                m_lowPriorityShare = m_lossAdmission->onArrival(m_now, LOW_PRIORITY, EIGHT_CALLS);
            }
        }
    }
    double m_highPriorityShare = 0;
    double m_lowPriorityShare = 0;
};

TEST(LossBasedAdmission, AdmitsAllRequestsWithoutLoss)
{
    run(2s, 10);
    DOUBLES_EQUAL(1, m_highPriorityShare, 0);
    DOUBLES_EQUAL(1, m_lowPriorityShare, 0);
}

// What a fifth of repeats can mend, one call in ten, is no reason to refuse anybody.
TEST(LossBasedAdmission, AdmitsAllRequestsIfRetriesCoverTheLoss)
{
    run(2s, 100);
    DOUBLES_EQUAL(1, m_highPriorityShare, 0);
    DOUBLES_EQUAL(1, m_lowPriorityShare, 0);
}

// 1. A service four hops down turns away 45 % of its calls by chance.
// 2. Of the trees with eight calls there one in a hundred would end whole; each needs six repeats,
//    and there is a fifth of one for each call.
// 3. The important trees, with four calls, are mended; of the minor ones hardly any is begun, and
//    their callers hear so at once.
TEST(LossBasedAdmission, PrefersHighPriorityIfRetriesCannotCoverTheLoss)
{
    run(2s, 450);
    DOUBLES_EQUAL(1, m_highPriorityShare, 0);
    CHECK(m_lowPriorityShare < 0.1);
    CHECK(m_lowPriorityShare > 0);
}

// A tree with a single call there ends whole more often than not. Callers get more of it than of a
// refusal.
TEST(LossBasedAdmission, AdmitsTreesThatLikelyCompleteWithoutRetries)
{
    run(2s, 450);
    DOUBLES_EQUAL(1, m_lossAdmission->onArrival(m_now, LOW_PRIORITY, ONE_CALL), 0);
}

TEST(LossBasedAdmission, DetectsRecoveryWithinASecond)
{
    run(2s, 450);
    run(1s, 0);
    DOUBLES_EQUAL(1, m_lowPriorityShare, 0);
}

// A service of which nothing more is heard, since nobody is let in, must not lock its rules out.
TEST(LossBasedAdmission, LossWithoutNewReportsExpires)
{
    run(2s, 900);
    CHECK(m_lowPriorityShare < 1);
    m_now += 3s;
    DOUBLES_EQUAL(1, m_lossAdmission->onArrival(m_now, LOW_PRIORITY, EIGHT_CALLS), 0);
}

TEST(LossBasedAdmission, AdmitsAllRequestsIfDisabled)
{
    m_options.isOn = false;
    m_lossAdmission = std::make_unique<LossBasedAdmission>(m_options);
    run(2s, 450);
    DOUBLES_EQUAL(1, m_lowPriorityShare, 0);
}

TEST_GROUP(RootAdmissionWithLoss)
{
    TimePoint m_now{ 10s };
    const RootTarget m_viewing{ RuleName("view"), ServiceName("wide"), LOW_PRIORITY };
    const RootTarget m_pledging{ RuleName("pledge"), ServiceName("wide"), HIGH_PRIORITY };

    /// 300 viewings and 100 pledges a second, for two seconds; of each, those let in.
    void run(IRootAdmission & admission, std::uint32_t thousandths, int &viewing, int &pledging)
    {
        viewing = 0;
        pledging = 0;
        for (int i = 0; i < 200; ++i, m_now += 10ms) {
            for (int n = 0; n < 3; ++n) {
                viewing += ask(admission, m_viewing, 8, thousandths) ? 1 : 0;
            }
            pledging += ask(admission, m_pledging, 4, thousandths) ? 1 : 0;
        }
    }
    bool ask(IRootAdmission & admission, const RootTarget &target, std::uint32_t calls,
             std::uint32_t thousandths)
    {
        if (!admission.admit(m_now, target)) {
            return false;
        }
        ServiceUsage usage = lossOf(thousandths);
        usage.calls = calls;
        admission.onAttemptEnd(m_now, target, { usage }, true);
        admission.onRequestEnd(target, RootResult::Success);
        return true;
    }
};

// What is not begun is no demand either: the load that the service tells concerns the others, and
// they must not be held back for trees that nobody begins.
TEST(RootAdmissionWithLoss, RefusesRulesWhoseTreesCannotCompleteWithoutLimitingOthers)
{
    RootAdmissionOptions options;
    options.retryRatio = 0.2;
    const auto admission = makeRootAdmission(options);
    int viewing = 0;
    int pledging = 0;
    run(*admission, 0, viewing, pledging);
    CHECK(viewing > 570 && pledging > 190);
    run(*admission, 450, viewing, pledging);
    run(*admission, 450, viewing, pledging);
    CHECK(viewing < 120);
    CHECK(pledging > 190);
    CHECK(admission->basis(m_now, m_viewing).lossAdmittedShare < 0.2);
    run(*admission, 0, viewing, pledging);
    run(*admission, 0, viewing, pledging);
    CHECK(viewing > 450);
}
