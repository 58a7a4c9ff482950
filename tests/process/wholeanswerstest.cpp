#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "standins/deployment/blockinghttp.h"
#include "tests/process/failuretest.h"

using namespace ivyspar;
using namespace ivyspar::lab;

namespace {

/// An upstream that sends fixed bytes in answer to the first request of each connection and closes
/// the connection. Connections are served independently, as the daemon keeps idle ones.
class RawUpstream
{
public:
    explicit RawUpstream(std::string answer)
        : m_answer(std::move(answer))
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        CHECK(bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) == 0);
        CHECK(listen(m_listener, 64) == 0);
        CHECK(getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) == 0);
        m_endpoint = Endpoint{ "127.0.0.1", ntohs(address.sin_port) };
        m_thread = std::thread([this] { run(); });
    }
    ~RawUpstream()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
        for (Connection &connection : m_connections) {
            shutdown(connection.socket, SHUT_RDWR);
            connection.thread.join();
            close(connection.socket);
        }
    }

    const Endpoint &endpoint() const { return m_endpoint; }

private:
    struct Connection
    {
        int socket;
        std::thread thread;
    };

    void run()
    {
        for (int client = accept(m_listener, nullptr, nullptr); client >= 0;
             client = accept(m_listener, nullptr, nullptr)) {
            m_connections.push_back({ client, std::thread([this, client] { serve(client); }) });
        }
    }

    void serve(int client) const
    {
        char request[4096];
        (void)!recv(client, request, sizeof(request), 0);
        (void)!send(client, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
        shutdown(client, SHUT_RDWR);
    }

    std::string m_answer;
    int m_listener;
    Endpoint m_endpoint;
    std::vector<Connection> m_connections;
    std::thread m_thread;
};

} // namespace

struct WholeAnswersFixture : FailureTest
{

    /// Makes the only server unresponsive and announces a replacement for it to the daemon.
    void announceReplacement(const Endpoint &endpoint)
    {
        CHECK(m_trial->setBehaviour("", R"({"silent":true})"));
        const nlohmann::json document{ { "service", "desk" },
                                       { "address", endpoint.text() },
                                       { "slots", 20 },
                                       { "connections", 400 } };
        const auto answer =
            exchangeBlocking(m_trial->host(0).upstream, { "PUT", "/announce", {}, document.dump() },
                             std::chrono::seconds(5));
        CHECK(answer && answer->status == 204);
    }
    void checkUnknown(const std::string &rawAnswer)
    {
        const RawUpstream upstream(rawAnswer);
        announceReplacement(upstream.endpoint());
        CallerPlan plan = m_trial->plan(m_record, "record");
        m_trial->callers().send(plan);
        m_trial->callers().waitForAll();
        const CallerAttempt last = m_trial->callers().actions().back().attempts.back();
        CHECK_TRUE_TEXT(last.told == Told::Unknown, rawAnswer.c_str());
        STRCMP_EQUAL("broken-answer", last.reason.c_str());
        STRCMP_EQUAL("", last.body.substr(0, 4) == "half" ? last.body.c_str() : "");
    }
};

TEST_GROUP_BASE(WholeAnswers, WholeAnswersFixture){};

// 300 requests of five kinds, taking 5 ms to 200 ms, are sent through one daemon. Their answers
// arrive over two links in a different order. Each caller gets the complete answer with its own
// token.
TEST(WholeAnswers, AnswersOutOfOrderReachTheirOwnCallers)
{
    startTrial(makeTrialGraph(), {}, false);
    constexpr std::uint32_t REQUESTS = 300;
    for (std::uint32_t i = 0; i < REQUESTS; ++i) {
        const std::string path = "/wait/" + std::to_string(1 + i % 5);
        CallerPlan plan = m_trial->plan({ "desk", "GET", path }, "t" + std::to_string(i));
        plan.entries = { m_trial->host(0).caller };
        plan.attempts = 40;
        m_trial->callers().send(plan);
    }
    const History history = m_trial->history();
    checkNoViolations(checkAll(history, m_trial->graph()));
    CHECK_EQUAL(REQUESTS, countServed(history));
}

// Requests take about as long as their callers wait, so about half of the answers arrive after the
// caller was told "unknown". A late answer is discarded. In particular it must not be delivered to
// the next request on the same connections, for which the same callers wait long enough.
TEST(WholeAnswers, LateAnswersAreNotDeliveredToOtherRequests)
{
    startTrial(makeTrialGraph(), {}, false);
    constexpr std::uint32_t REQUESTS = 100;
    const auto sendAll = [this](const std::string &prefix, std::chrono::milliseconds deadline) {
        for (std::uint32_t i = 0; i < REQUESTS; ++i) {
            CallerPlan plan =
                m_trial->plan({ "desk", "GET", "/wait/5" }, prefix + std::to_string(i));
            plan.entries = { m_trial->host(0).caller };
            plan.deadline = deadline;
            plan.attempts = 40;
            m_trial->callers().send(plan);
        }
    };
    sendAll("late-", std::chrono::milliseconds(200));
    m_trial->callers().waitForAll();
    CHECK(countTold(m_trial->history(), Told::Unknown) > 0);
    sendAll("next-", std::chrono::milliseconds(3000));
    checkNoViolations(checkAll(m_trial->history(), m_trial->graph()));
}

// The server closes the connection in the middle of its answer. It had started the request, so the
// caller is told "unknown": it gets neither a truncated answer nor "not run".
TEST(WholeAnswers, ATruncatedAnswerIsUnknown)
{
    startTrial(makeTrialGraph(1), {}, false);
    checkUnknown("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it");
    checkUnknown("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\nhalf of it");
    checkUnknown("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    checkUnknown("HTTP/1.1 200 O");
    checkUnknown("");
}
