#include <string>

#include "transport/internal/httpparser.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

constexpr HttpParseLimits LIMITS{ 1000, 1000 };

/// Passes the first `first` bytes and then the rest to the parser, as two reads would.
template <typename Parser>
HttpParseStatus parseInTwo(Parser &parser, const std::string &text, std::size_t first,
                           std::size_t &leftOver)
{
    std::size_t consumed = 0;
    HttpParseStatus status = parser.put(std::string_view(text).substr(0, first), consumed);
    if (status != HttpParseStatus::NeedMore) {
        leftOver = text.size() - consumed;
        return status;
    }
    const auto rest = std::string_view(text).substr(consumed);
    status = parser.put(rest, consumed);
    leftOver = rest.size() - consumed;
    return status;
}

} // namespace

TEST_GROUP(HttpParser){};

/// The network may split a message anywhere; the result must not depend on the position.
TEST(HttpParser, RequestIsIndependentOfSplitPosition)
{
    const std::string text = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                             "X-Y: 1\r\n\r\n3\r\nabc\r\n2;e=f\r\nde\r\n0\r\nX-Y: trailer\r\n\r\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        HttpRequestParser parser(LIMITS);
        std::size_t leftOver = 0;
        CHECK(parseInTwo(parser, text + "GET /", cut, leftOver) == HttpParseStatus::Done);
        CHECK_EQUAL(5, leftOver);
        STRCMP_EQUAL("abcde", parser.request().body.c_str());
        CHECK_EQUAL(2, parser.request().headers.size());
        STRCMP_EQUAL("1", findHeader(parser.request().headers, "x-y")->c_str());
    }
}

TEST(HttpParser, ResponseIsIndependentOfSplitPosition)
{
    const std::string text = "HTTP/1.1 404 Not Found\r\nContent-Length: 3\r\nA: b\r\n\r\nabc";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        HttpResponseParser parser(LIMITS, true);
        std::size_t leftOver = 0;
        CHECK(parseInTwo(parser, text, cut, leftOver) == HttpParseStatus::Done);
        CHECK_EQUAL(404, parser.response().status);
        STRCMP_EQUAL("abc", parser.response().body.c_str());
        CHECK(parser.isKeepAlive());
    }
}

/// Without a length the body extends to the end of the connection, which does not prove that it is
/// complete. The header suffices to reject it, so that the caller need not wait for the body.
TEST(HttpParser, ResponseWithoutLengthIsRejectedAtHeader)
{
    HttpResponseParser parser(LIMITS, true);
    std::size_t consumed = 0;
    CHECK(parser.put("HTTP/1.1 200 OK\r\n\r\n", consumed) == HttpParseStatus::Malformed);
}

TEST(HttpParser, PrefixIsNeverACompleteResponse)
{
    for (const char *text : { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "3\r\nabc\r\n0\r\n\r\n" }) {
        const std::string whole = text;
        for (std::size_t size = 0; size < whole.size(); ++size) {
            HttpResponseParser parser(LIMITS, true);
            std::size_t consumed = 0;
            CHECK(parser.put(whole.substr(0, size), consumed) == HttpParseStatus::NeedMore);
        }
    }
}
