#include "transport/internal/httpparser.h"

#include <algorithm>
#include <ostream>
#include <string>
#include <utility>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "transport/internal/httpfields.h"

namespace ivyspar {

namespace {

namespace http = boost::beast::http;
using boost::beast::string_view;
using ErrorCode = boost::system::error_code;

/// Memory reserved in advance for a declared body length; beyond it the body grows as data arrives.
constexpr std::uint64_t MAX_RESERVED_BYTES = 64 * 1024;
constexpr int FIRST_STATUS = 100;
constexpr std::string_view HEADER_END = "\r\n\r\n";

/// Whether a line of the header begins with a blank. Such a line would be taken for a part of the
/// value before it. `input` begins at the start of a line.
bool hasContinuationLine(std::string_view input)
{
    const std::string_view header = input.substr(0, input.find(HEADER_END));
    for (auto end = header.find('\n'); end < header.size(); end = header.find('\n', end + 1)) {
        const char next = end + 1 < header.size() ? header[end + 1] : '\0';
        if (next == ' ' || next == '\t') {
            return true;
        }
    }
    return false;
}

/// Common part of the request and response parsers. Writes into `headers`, and into `body` once the
/// message is complete.
template <bool isRequest> class MessageParser : public http::basic_parser<isRequest>
{
public:
    MessageParser(const HttpParseLimits &limits, std::vector<HttpHeader> &headers, HttpBody &body,
                  BodyChargePtr charge)
        : m_limits(limits)
        , m_headers(headers)
        , m_body(body)
        , m_charge(std::move(charge))
    {
        this->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        this->body_limit(limits.bodyBytes);
        this->eager(true);
    }

    HttpParseStatus parse(std::string_view input, std::size_t &consumed)
    {
        consumed = 0;
        ErrorCode error;
        while (!error && !this->is_done() && consumed < input.size()) {
            const bool wasInHeader = !this->is_header_done();
            const auto rest = input.substr(consumed);
            // A proxy may answer 502 to a response with such a line (RFC 9112, 5.2).
            if (!isRequest && wasInHeader && hasContinuationLine(rest)) {
                return HttpParseStatus::Malformed;
            }
            const std::size_t count =
                this->put(boost::asio::const_buffer(rest.data(), rest.size()), error);
            consumed += count;
            m_headerBytes += wasInHeader ? count : 0;
        }
        return hold(status(error, input.size() - consumed));
    }

    bool expectsContinue() const { return m_expectsContinue && this->is_header_done(); }

    void takeUnframed() { m_acceptsUnframed = true; }

    HttpParseStatus finish()
    {
        if (!m_acceptsUnframed || !this->is_header_done() || !this->need_eof()) {
            return HttpParseStatus::Malformed;
        }
        ErrorCode error;
        this->put_eof(error);
        return hold(error ? HttpParseStatus::Malformed : HttpParseStatus::Done);
    }

private:
    /// Counts the bytes of the message so far, and completes its body if it is whole.
    HttpParseStatus hold(HttpParseStatus status)
    {
        const bool isSound = status == HttpParseStatus::NeedMore || status == HttpParseStatus::Done;
        if (isSound && m_charge && !m_charge->resize(m_headerBytes + m_bytes.size())) {
            return HttpParseStatus::NoRoom;
        }
        if (status == HttpParseStatus::Done) {
            completeBody();
        }
        return status;
    }

    void completeBody()
    {
        if (m_charge) {
            m_charge->complete();
        }
        m_body = HttpBody(std::move(m_bytes), std::exchange(m_charge, {}));
    }

    HttpParseStatus status(const ErrorCode &error, std::size_t leftBytes) const
    {
        if (error == http::error::header_limit) {
            return HttpParseStatus::HeaderTooLarge;
        }
        if (error == http::error::body_limit) {
            return HttpParseStatus::BodyTooLarge;
        }
        if (error && error != http::error::need_more) {
            return HttpParseStatus::Malformed;
        }
        // Beast consumes field by field and compares only the unconsumed rest with its limit, so a
        // header that arrives in pieces could grow without bound.
        if (!this->is_header_done()) {
            const bool fits = m_headerBytes + leftBytes <= m_limits.headerBytes;
            return fits ? HttpParseStatus::NeedMore : HttpParseStatus::HeaderTooLarge;
        }
        if (this->is_done()) {
            return HttpParseStatus::Done;
        }
        // A body delimited by the end of the connection looks the same if the sender crashed
        // halfway: a truncated response would be passed on as complete.
        if (this->need_eof()) {
            return m_acceptsUnframed ? HttpParseStatus::NeedMore : HttpParseStatus::Malformed;
        }
        // Chunk extensions and trailers stay in the input until they are complete.
        return leftBytes <= m_limits.headerBytes ? HttpParseStatus::NeedMore
                                                 : HttpParseStatus::Malformed;
    }

    void on_field_impl(http::field field, string_view name, string_view value,
                       ErrorCode &error) override // NOLINT
    {
        // A trailer must not be taken for a header field that was checked before the body.
        if (this->is_header_done()) {
            return;
        }
        if (field == http::field::transfer_encoding && !boost::beast::iequals(value, "chunked")) {
            error = http::error::bad_transfer_encoding;
            return;
        }
        if (field == http::field::expect && boost::beast::iequals(value, "100-continue")) {
            m_expectsContinue = true;
        }
        if (field == http::field::connection) {
            m_connection.append(m_connection.empty() ? "" : ",").append(value.data(), value.size());
        }
        if (!isConnectionField({ name.data(), name.size() })) {
            m_headers.push_back(
                { std::string(name.data(), name.size()), std::string(value.data(), value.size()) });
        }
    }

    void on_header_impl(ErrorCode & /*error*/) override // NOLINT
    {
        removeNamedFields(m_headers, m_connection);
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &length,
                           ErrorCode & /*error*/) override // NOLINT
    {
        m_bytes.reserve(std::min(length.value_or(0), MAX_RESERVED_BYTES));
    }

    std::size_t on_body_impl(string_view body, ErrorCode & /*error*/) override // NOLINT
    {
        m_bytes.append(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                              ErrorCode & /*error*/) override // NOLINT
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view body,
                                   ErrorCode & /*error*/) override // NOLINT
    {
        m_bytes.append(body.data(), body.size());
        return body.size();
    }

    void on_finish_impl(ErrorCode & /*error*/) override // NOLINT
    {
    }

    HttpParseLimits m_limits;
    std::vector<HttpHeader> &m_headers;
    HttpBody &m_body;
    BodyChargePtr m_charge;
    /// Of the body, until it is complete.
    std::string m_bytes;
    std::string m_connection;
    std::size_t m_headerBytes = 0;
    bool m_expectsContinue = false;
    bool m_acceptsUnframed = false;
};

/// Used as base classes, so that they are constructed before the parser that refers to their
/// members.
struct RequestHolder
{
    HttpRequest m_request;
};

struct ResponseHolder
{
    HttpResponse m_response;
};

} // namespace

struct HttpRequestParser::Private : RequestHolder, MessageParser<true>
{
    Private(const HttpParseLimits &limits, BodyChargePtr charge)
        : MessageParser<true>(limits, m_request.headers, m_request.body, std::move(charge))
    {
    }

    void on_request_impl(http::verb /*verb*/, string_view method, string_view target, int version,
                         ErrorCode & /*error*/) override // NOLINT
    {
        m_request.method.assign(method.data(), method.size());
        m_request.target.assign(target.data(), target.size());
        m_version = version;
    }

    void on_response_impl(int /*status*/, string_view /*reason*/, int /*version*/,
                          ErrorCode & /*error*/) override // NOLINT
    {
    }

    int m_version = 0;
};

HttpRequestParser::HttpRequestParser(const HttpParseLimits &limits, BodyChargePtr charge)
    : m_p(std::make_unique<Private>(limits, std::move(charge)))
{
}

HttpRequestParser::~HttpRequestParser() = default;

HttpParseStatus HttpRequestParser::put(std::string_view input, std::size_t &consumed)
{
    return m_p->parse(input, consumed);
}

bool HttpRequestParser::expectsContinue() const
{
    return m_p->expectsContinue();
}

bool HttpRequestParser::isKeepAlive() const
{
    return m_p->keep_alive();
}

bool HttpRequestParser::isVersion10() const
{
    constexpr int VERSION_10 = 10;
    return m_p->m_version == VERSION_10;
}

HttpRequest &HttpRequestParser::request()
{
    return m_p->m_request;
}

struct HttpResponseParser::Private : ResponseHolder, MessageParser<false>
{
    Private(const HttpParseLimits &limits, bool hasBody, BodyChargePtr charge)
        : MessageParser<false>(limits, m_response.headers, m_response.body, std::move(charge))
    {
        skip(!hasBody);
    }

    void on_request_impl(http::verb /*verb*/, string_view /*method*/, string_view /*target*/,
                         int /*version*/, ErrorCode & /*error*/) override // NOLINT
    {
    }

    void on_response_impl(int status, string_view /*reason*/, int /*version*/,
                          ErrorCode &error) override // NOLINT
    {
        if (status < FIRST_STATUS) {
            error = http::error::bad_status;
        }
        m_response.status = static_cast<std::uint16_t>(status);
    }
};

HttpResponseParser::HttpResponseParser(const HttpParseLimits &limits, bool hasBody,
                                       bool acceptsUnframed, BodyChargePtr charge)
    : m_p(std::make_unique<Private>(limits, hasBody, std::move(charge)))
{
    if (acceptsUnframed) {
        m_p->takeUnframed();
    }
}

HttpParseStatus HttpResponseParser::finish()
{
    return m_p->finish();
}

HttpResponseParser::~HttpResponseParser() = default;

HttpParseStatus HttpResponseParser::put(std::string_view input, std::size_t &consumed)
{
    return m_p->parse(input, consumed);
}

bool HttpResponseParser::isKeepAlive() const
{
    return m_p->keep_alive();
}

HttpResponse &HttpResponseParser::response()
{
    return m_p->m_response;
}

} // namespace ivyspar
