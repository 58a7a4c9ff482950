#include <thread>
#include <vector>

#include "state/metricsfactory.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

TEST_GROUP(Metrics)
{
    std::unique_ptr<IMetrics> metrics = makeMetrics();

    void checkHas(const char *line)
    {
        STRCMP_CONTAINS(('\n' + std::string(line) + '\n').c_str(), metrics->text().c_str());
    }
};

TEST(Metrics, CountersAndGaugesAreExportedWithLabels)
{
    metrics->add(Counter::RetryAttempts, 3);
    metrics->set(Gauge::Members, 16);
    checkHas("# TYPE ivyspar_attempts_total counter");
    checkHas("ivyspar_attempts_total{kind=\"first\"} 0");
    checkHas("ivyspar_attempts_total{kind=\"retry\"} 3");
    checkHas("# TYPE ivyspar_members gauge");
    checkHas("ivyspar_members 16");
}

TEST(Metrics, RequestsAreCountedByOutcomePriorityAndReason)
{
    metrics->countRequest({ Outcome::NotRun, Reason::BelowFloor, {} }, Priority(10));
    metrics->countRequest({ Outcome::NotRun, Reason::Doomed, {} }, Priority(10));
    metrics->countRequest({ Outcome::Answered, Reason::None, {} }, Priority(255));
    checkHas("ivyspar_requests_total{outcome=\"not-run\",priority=\"10\"} 2");
    checkHas("ivyspar_requests_total{outcome=\"answered\",priority=\"100\"} 1");
    checkHas("ivyspar_request_reasons_total{outcome=\"not-run\",reason=\"below-floor\"} 1");
    CHECK(metrics->text().find("priority=\"11\"") == std::string::npos);
}

TEST(Metrics, BucketsAreCumulative)
{
    for (const Duration duration : { Duration(-1), Duration(5), Duration(300), Duration(2000),
                                     Duration(std::chrono::hours(1)) }) {
        metrics->observe(Timing::Request, duration);
    }
    checkHas("ivyspar_request_duration_seconds_bucket{le=\"1e-05\"} 2");
    checkHas("ivyspar_request_duration_seconds_bucket{le=\"0.0002512\"} 2");
    checkHas("ivyspar_request_duration_seconds_bucket{le=\"0.0003162\"} 3");
    checkHas("ivyspar_request_duration_seconds_bucket{le=\"100\"} 4");
    checkHas("ivyspar_request_duration_seconds_bucket{le=\"+Inf\"} 5");
    checkHas("ivyspar_request_duration_seconds_count 5");
    checkHas("ivyspar_request_duration_seconds_sum 3600.002305");
}

TEST(Metrics, ConcurrentUpdatesAreNotLost)
{
    constexpr int THREADS = 4;
    constexpr int ROUNDS = 20'000;
    std::vector<std::thread> threads;
    threads.reserve(THREADS);
    for (int i = 0; i < THREADS; ++i) {
        threads.emplace_back([this] {
            for (int round = 0; round < ROUNDS; ++round) {
                metrics->add(Counter::Cancels, 1);
                metrics->observe(Timing::GateWait, Duration(round));
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    checkHas("ivyspar_cancels_total 80000");
    checkHas("ivyspar_gate_wait_seconds_count 80000");
}
