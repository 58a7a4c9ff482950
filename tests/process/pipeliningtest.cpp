#include <chrono>
#include <string>
#include <vector>

#include "standins/deployment/blockinghttp.h"
#include "tests/process/failuretest.h"
#include "transport/tests/rawsocket.h"

using namespace ivyspar;
using namespace ivyspar::lab;

struct PipeliningFixture : FailureTest
{
    std::vector<std::string> startedPaths()
    {
        std::vector<std::string> paths;
        for (const StartedWork &start : m_trial->starts()) {
            paths.push_back(start.path);
        }
        return paths;
    }

    std::string metrics()
    {
        const auto answer = exchangeBlocking(
            m_trial->host(0).operators, { "GET", "/metrics", {}, {} }, std::chrono::seconds(5));
        return answer ? answer->body : "";
    }
};

TEST_GROUP_BASE(Pipelining, PipeliningFixture){};

// Guards against a caller that pipelines waiting behind its own requests, and against a request
// that may run only once being started before the ones in front of it are answered.
TEST(Pipelining, IdempotentRequestsRunTogetherAndOthersAlone)
{
    startTrial(makeTrialGraph(1), { "--max_pipelined_requests=8" }, false);
    CHECK(m_trial->setBehaviour("", R"({"slowdown":10})"));
    const std::vector<std::string> paths = { "/wait/4", "/wait/3", "/wait/2", "/wait/1" };
    RawSocket caller = RawSocket::connectTo(m_trial->host(0).caller);
    std::string requests;
    for (const std::string &path : paths) {
        requests += "GET /desk" + path + "?token=p HTTP/1.1\r\nHost: desk\r\n\r\n";
    }
    requests += "GET /nowhere HTTP/1.1\r\nHost: desk\r\n\r\n";
    requests += "POST /desk/records?token=p HTTP/1.1\r\nHost: desk\r\nContent-Length: 0\r\n\r\n";
    caller.send(requests);
    CHECK(waitUntil([this] { return m_trial->statusNumber(0, "pipelined_requests") == 3; }));
    for (const std::string &path : paths) {
        STRCMP_CONTAINS("HTTP/1.1 200 ", caller.readUntil("\r\n\r\n").c_str());
        STRCMP_CONTAINS(path.c_str(), caller.readUntil("]").c_str());
    }
    STRCMP_CONTAINS("HTTP/1.1 404 ", caller.readUntil("\r\n\r\n").c_str());
    STRCMP_CONTAINS("HTTP/1.1 200 ", caller.readUntil("HTTP/1.1 200 ").c_str());
    STRCMP_CONTAINS("/records", caller.readUntil("]").c_str());
    const std::vector<std::string> started = startedPaths();
    LONGS_EQUAL(5, started.size());
    STRCMP_EQUAL("/records", started.back().c_str());
    const std::string figures = metrics();
    STRCMP_CONTAINS("\nivyspar_pipelined_starts_total 3\n", figures.c_str());
    STRCMP_CONTAINS("\nivyspar_pipelined_waits_total{cause=\"order\"} 2\n", figures.c_str());
    LONGS_EQUAL(0, m_trial->statusNumber(0, "pipelined_requests"));
    LONGS_EQUAL(0, m_trial->statusNumber(0, "pipelined_bytes"));
}
