#include <csignal>
#include <fstream>

#include <nlohmann/json.hpp>

#include "tests/process/failuretest.h"

using namespace ivyspar;
using namespace ivyspar::lab;
using std::chrono::seconds;

TEST_GROUP_BASE(CrashReport, FailureTest){};

// Guards against a process that ends by a fault and leaves no line of it.
TEST(CrashReport, FaultLeavesALineWithItsStack)
{
    startTrial(makeTrialGraph(), {}, false);
    DeployedHost &host = m_trial->host(0);
    host.process.signal(SIGSEGV);
    CHECK_EQUAL(128 + SIGSEGV, host.process.wait(seconds(30)));
    std::ifstream output(m_trial->folder() + "/" + host.name + ".out");
    std::size_t reports = 0;
    for (std::string line; std::getline(output, line);) {
        const auto report = nlohmann::json::parse(line, nullptr, false);
        if (!report.is_object() || report.value("outcome", "") != "crash") {
            continue;
        }
        ++reports;
        CHECK_EQUAL(SIGSEGV, report["signal"].get<int>());
        CHECK(report["stack"].size() > 1);
        STRCMP_EQUAL(host.name.c_str(), report["daemon"].get<std::string>().c_str());
    }
    CHECK_EQUAL(1, reports);
}
