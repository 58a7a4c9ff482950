#pragma once

#include <functional>
#include <string_view>

#include <boost/intrusive/list_hook.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "transport/ieventloop.h"
#include "transport/ihttpserver.h"
#include "transport/internal/httpfields.h"
#include "transport/internal/tcpstream.h"

namespace ivyspar {

class HttpRequestParser;
class HttpServerCore;

/// One client's connection. It has a fiber only while a request is received, handled or answered:
/// for an idle connection a fiber would keep the touched pages of its stack in memory.
class HttpConnection
    : public boost::intrusive_ref_counter<HttpConnection, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>,
      private IHttpExchange
{
public:
    HttpConnection(boost::intrusive_ptr<HttpServerCore> server, TcpStreamPtr stream);
    ~HttpConnection() override;

    /// Waits for the first request.
    void start() { waitForRequest(); }
    /// Answers 503 without reading a request; suspends the calling fiber.
    void refuse();
    /// Closes the connection if no part of a request has arrived on it.
    void closeIfIdle();
    /// Closes the connection at once and drops the disconnect callback.
    void abort();

private:
    enum class State {
        Idle,
        Receiving,
        Handling,
        Done,
    };
    enum class Received {
        Request,
        Refused, ///< Answered with an error; the connection is to be closed.
        Ended,
    };

    // IHttpExchange
    const HttpRequest &request() const override { return m_request; }
    ConnectionTally &tally() override { return m_tally; }
    void onDisconnect(std::function<void()> callback) override;

    void waitForRequest();
    void onReadWhileIdle();
    void serve();
    bool serveOne();
    void finish();
    Received receive();
    Received receiveRest(HttpRequestParser &parser);
    Received refuseInput(std::uint16_t status);
    Received onInputEnd();
    HttpResponse handle();
    bool respond(const HttpResponse &response);
    bool write(std::string_view head, std::string_view body);
    void sendContinue();
    void lingeringClose();
    void watchForDisconnect();
    void onReadWhileHandling();
    void notifyDisconnect();
    void startTimer(Duration duration);
    void stopTimer();
    bool isDisconnected() const { return static_cast<bool>(m_stream->readError()); }

    boost::intrusive_ptr<HttpServerCore> m_server;
    TcpStreamPtr m_stream;
    ConnectionTally m_tally;
    State m_state = State::Idle;
    HttpRequest m_request;
    ResponseFraming m_framing;
    std::function<void()> m_onDisconnect;
    TimerId m_timer;
    bool m_isTimedOut = false;
};
using HttpConnectionPtr = boost::intrusive_ptr<HttpConnection>;

} // namespace ivyspar
