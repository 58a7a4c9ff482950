#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "state/http.h"
#include "state/time.h"
#include "transport/internal/httpfields.h"
#include "transport/internal/httpparser.h"

namespace ivyspar {

/// A complete request and how its response is to be framed.
struct ReceivedRequest
{
    HttpRequest request;
    ResponseFraming framing;
    /// How long it lay unread.
    Duration waited{ 0 };
};

/// Reads the requests of a connection one by one. Keeps what has arrived of an incomplete one.
class HttpRequestReader
{
public:
    /// Whether no byte of a further request was read.
    bool isEmpty() const { return m_parser == nullptr; }
    /// Whether the request is complete or has an error: `read` takes no more input.
    bool hasEnded() const { return m_status != HttpParseStatus::NeedMore; }
    /// Sets `consumed` to the number of bytes read. Further input belongs to the next request.
    /// Requests are counted by `budget`, which may be null.
    HttpParseStatus read(std::string_view input, const HttpParseLimits &limits, IBodyBudget *budget,
                         std::size_t &consumed);
    bool expectsContinue() const { return m_parser && m_parser->expectsContinue(); }
    /// Bytes read of the current request.
    std::size_t bytes() const { return m_bytes; }
    /// The request, once it is complete.
    const HttpRequest &request() const { return m_parser->request(); }
    /// Takes the complete request; the next one may be read then.
    ReceivedRequest take();

private:
    std::unique_ptr<HttpRequestParser> m_parser;
    HttpParseStatus m_status = HttpParseStatus::NeedMore;
    std::size_t m_bytes = 0;
};

} // namespace ivyspar
