#include "coordination/admission/internal/lossbasedadmission.h"
#include "coordination/admission/irootadmission.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const ServiceName BOTTLENECK("narrow");
const Priority HIGH_PRIORITY(90);
const Priority LOW_PRIORITY(10);
const std::vector<TreeCalls> FOUR_CALLS{ { BOTTLENECK, 4 } };
const std::vector<TreeCalls> EIGHT_CALLS{ { BOTTLENECK, 8 } };
const std::vector<TreeCalls> ONE_CALL{ { BOTTLENECK, 1 } };

ServiceUsage lossOf(std::uint32_t thousandths)
{
    return ServiceUsage{ BOTTLENECK, 15ms, DemandLoad(600), LossShare(thousandths), 1 };
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

    /// Every 10 ms two requests of high priority with four calls and four of low priority with
    /// eight calls arrive.
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

// A retry budget of 20 % covers a loss of one call in ten, so no request is refused.
TEST(LossBasedAdmission, AdmitsAllRequestsIfRetriesCoverTheLoss)
{
    run(2s, 100);
    DOUBLES_EQUAL(1, m_highPriorityShare, 0);
    DOUBLES_EQUAL(1, m_lowPriorityShare, 0);
}

// 1. A service four hops down refuses 45 % of its calls at random.
// 2. Of the call trees with eight calls to it one in a hundred would complete; each needs six
//    retries, and the budget is 0.2 per call.
// 3. Retries complete the call trees of high priority, with four calls; of those of low priority
//    hardly any is started, and their callers are refused immediately.
TEST(LossBasedAdmission, PrefersHighPriorityIfRetriesCannotCoverTheLoss)
{
    run(2s, 450);
    DOUBLES_EQUAL(1, m_highPriorityShare, 0);
    CHECK(m_lowPriorityShare < 0.1);
    CHECK(m_lowPriorityShare > 0);
}

// A call tree with a single call to the service completes in more than half of the cases, which is
// better for its caller than a refusal.
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

// Without admitted requests no new reports arrive; the loss must expire, or the rule would be
// locked out.
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

    /// Sends 300 viewings and 100 pledges per second for two seconds; returns the number of each
    /// that is admitted.
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

// Requests that are not started must not count as demand: the load that the service reports is
// caused by the other rules, which must not be limited because of them.
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
