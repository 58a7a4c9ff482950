#pragma once

#include <cstdint>
#include <string_view>

#include <boost/intrusive/list_hook.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "transport/ieventloop.h"
#include "transport/ihttpserver.h"
#include "transport/internal/exchangequeue.h"
#include "transport/internal/fiberwaiter.h"
#include "transport/internal/httpfields.h"
#include "transport/internal/httprequestreader.h"
#include "transport/internal/tcpstream.h"

namespace ivyspar {

class HttpServerCore;

/// One client's connection. It has a fiber only while requests are received, handled or answered:
/// for an idle connection a fiber would keep the touched pages of its stack in memory.
///
/// That fiber handles a request when it is the first unanswered one and writes all responses. A
/// request that starts before its turn is handled in a fiber of its own.
class HttpConnection
    : public boost::intrusive_ref_counter<HttpConnection, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    HttpConnection(boost::intrusive_ptr<HttpServerCore> server, TcpStreamPtr stream);
    ~HttpConnection();

    /// Waits for the first request.
    void start() { waitForRequest(); }
    /// Answers 503 without reading a request; suspends the calling fiber.
    void refuse();
    /// Closes the connection if no part of a request has arrived on it.
    void closeIfIdle();
    /// Closes the connection at once and drops the disconnect callbacks.
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
    /// Why a request that has arrived was not started before its turn.
    enum class Delay {
        None,
        Order,
        Limit,
    };

    void waitForRequest();
    void onReadWhileIdle();
    void startServing();
    void serve();
    void fail();
    bool serveOne();
    void letOthersRun();
    void finish();
    Received receive();
    Received refuseInput(std::uint16_t status);
    Received onInputEnd();
    HttpParseStatus readRequest();
    bool startNext();
    void run(HttpExchange &exchange);
    void waitFor(const HttpExchange &exchange);
    bool answerFront();
    void endExchanges();
    void startAhead();
    bool mayStartAhead();
    bool isConcurrent(HttpExchange &exchange);
    ReceivedRequest takeRequest();
    Duration endDelay();
    bool hasInput() const { return !m_reader.isEmpty() || !m_stream->input().empty(); }
    bool respond(const HttpResponse &response, const ResponseFraming &framing);
    bool write(std::string_view head, std::string_view body);
    void sendContinue();
    void lingeringClose();
    void watchInput();
    void onReadWhileHandling();
    bool isInputFull() const;
    void startTimer(Duration duration);
    void stopTimer();
    DeliveryFailure writeFailure() const;
    bool isDisconnected() const { return static_cast<bool>(m_stream->readError()); }

    boost::intrusive_ptr<HttpServerCore> m_server;
    TcpStreamPtr m_stream;
    ConnectionTally m_tally;
    State m_state = State::Idle;
    HttpRequestReader m_reader;
    ExchangeQueue m_exchanges;
    FiberWaiter m_frontFinished;
    Delay m_delay = Delay::None;
    /// When the input that is not parsed yet had arrived completely.
    TimePoint m_lastInputAt;
    TimerId m_timer;
    bool m_isTimedOut = false;
    /// Why the last write failed.
    DeliveryFailure m_writeFailure = DeliveryFailure::ClientGone;
    bool m_isWriting = false;
};
using HttpConnectionPtr = boost::intrusive_ptr<HttpConnection>;

} // namespace ivyspar
