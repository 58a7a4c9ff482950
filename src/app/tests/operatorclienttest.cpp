#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "app/internal/commands/operatorclient.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using boost::asio::ip::tcp;

namespace {

/// Accepts one connection, answers its request with `answer` and closes.
class OneAnswerServer
{
public:
    explicit OneAnswerServer(std::string answer)
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_thread([this, answer = std::move(answer)] { serve(answer); })
    {
    }
    ~OneAnswerServer() { m_thread.join(); }

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

private:
    void serve(const std::string &answer)
    {
        boost::system::error_code ignored;
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, ignored);
        boost::asio::streambuf request;
        boost::asio::read_until(socket, request, "\r\n\r\n", ignored);
        boost::asio::write(socket, boost::asio::buffer(answer), ignored);
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

RetVal<std::string> fetch(const Endpoint &endpoint, Duration timeout = std::chrono::seconds(30))
{
    return fetchFromOperatorEndpoint(endpoint, "/status", timeout);
}

} // namespace

TEST_GROUP(OperatorClient){};

TEST(OperatorClient, ReturnsTheWholeBody)
{
    const OneAnswerServer server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    STRCMP_EQUAL("{}", fetch(server.endpoint()).value().c_str());
}

TEST(OperatorClient, OtherStatusesAreErrors)
{
    const OneAnswerServer server("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    STRCMP_CONTAINS("answered with status 404", fetch(server.endpoint()).error().text.c_str());
}

TEST(OperatorClient, BrokenAnswersAreErrors)
{
    for (const char *answer : { "", "nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Le",
                                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
                                "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n{}" }) {
        const OneAnswerServer server(answer);
        CHECK_FALSE_TEXT(fetch(server.endpoint()).has_value(), answer);
    }
}

// The kernel accepts connections for a daemon that hangs, but no response follows. The operator
// must get an error after the time-out instead of waiting forever.
TEST(OperatorClient, SilentDaemonTimesOut)
{
    boost::asio::io_context context;
    const tcp::acceptor acceptor(context,
                                 tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const Endpoint endpoint{ "127.0.0.1", acceptor.local_endpoint().port() };
    const auto result = fetch(endpoint, std::chrono::milliseconds(50));
    STRCMP_CONTAINS("no answer within 50ms", result.error().text.c_str());
}
