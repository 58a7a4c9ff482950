#include "protocol/base64.h"
#include "transport/logheaders.h"
#include "transport/logservicefactory.h"
#include "transport/tests/mocks/mockhttpclient.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

TEST_GROUP(HttpLogService)
{
    MockHttpClient m_client;
    LogServiceSettings m_settings{ { { "127.0.0.1", 1 }, { "127.0.0.1", 2 } },
                                   "b",
                                   std::chrono::seconds(2) };
    std::unique_ptr<ILogService> m_log = makeHttpLogService(m_settings, m_client);
    StreamName m_stream{ "configuration" };

    void answer(std::uint16_t status, const std::string &body)
    {
        m_client.results.emplace_back(HttpResponse{ status, {}, body });
    }
    void fail(HttpFailureStage stage)
    {
        m_client.results.emplace_back(tl::unexpect,
                                      HttpFailure{ stage, HttpFailureCause::Timeout, "test" });
    }
    ErrorCode appendError()
    {
        const RetVal<LogOffset> result = m_log->append(m_stream, "record");
        CHECK_FALSE(result.has_value());
        return result.error().code;
    }
};

TEST(HttpLogService, AppendsPayloadUnchanged)
{
    answer(201, R"({"offset":42})");
    CHECK(m_log->append(m_stream, std::string("a\0b", 3)).value() == LogOffset(42));
    const HttpRequest &request = m_client.calls.at(0).request;
    STRCMP_EQUAL("POST", request.method.c_str());
    STRCMP_EQUAL("/streams/configuration/records", request.target.c_str());
    CHECK(request.body == std::string("a\0b", 3));
    STRCMP_EQUAL("b", findHeader(request.headers, headers::LOG_CLIENT)->c_str());
}

// A caller told "not appended" appends again. If a response is lost after the request was sent, the
// record may be in the log: no other endpoint is tried and the outcome is `Unknown`.
TEST(HttpLogService, LostResponseGivesUnknown)
{
    fail(HttpFailureStage::MaybeSent);
    CHECK(appendError() == ErrorCode::Unknown);
    CHECK_EQUAL(1, m_client.calls.size());
    answer(201, "{\"offs");
    CHECK(appendError() == ErrorCode::Unknown);
    answer(500, "");
    CHECK(appendError() == ErrorCode::Unknown);
    answer(503, "");
    CHECK(appendError() == ErrorCode::Unknown);
}

TEST(HttpLogService, ProvenRefusalsAreNotUnknown)
{
    answer(429, "");
    CHECK(appendError() == ErrorCode::Throttled);
    answer(413, "");
    CHECK(appendError() == ErrorCode::Throttled);
    answer(400, "");
    CHECK(appendError() == ErrorCode::InvalidArgument);
    fail(HttpFailureStage::NotSent);
    fail(HttpFailureStage::NotSent);
    CHECK(appendError() == ErrorCode::Unavailable);
    const HttpHeader proof{ headers::LOG_OUTCOME, headers::LOG_NOT_APPENDED };
    m_client.results.emplace_back(HttpResponse{ 503, { proof }, "" });
    m_client.results.emplace_back(HttpResponse{ 503, { proof }, "" });
    CHECK(appendError() == ErrorCode::Unavailable);
}

TEST(HttpLogService, FailsOverToNextEndpointAndRemembersIt)
{
    fail(HttpFailureStage::NotSent);
    answer(201, R"({"offset":0})");
    CHECK(m_log->append(m_stream, "record").has_value());
    answer(201, R"({"offset":1})");
    CHECK(m_log->append(m_stream, "record").has_value());
    CHECK_EQUAL(2, m_client.calls.at(2).endpoint.port);
}

TEST(HttpLogService, ReadsPageFromFirstRetainedRecord)
{
    answer(200, R"({"first":4,"end":9,"records":[{"offset":4,"payload":"YQ=="}]})");
    const LogPage page = m_log->read(m_stream, LogOffset(2), 7, std::chrono::seconds(5)).value();
    CHECK(page.first == LogOffset(4));
    CHECK(page.end == LogOffset(9));
    CHECK_EQUAL(1, page.records.size());
    STRCMP_EQUAL("a", page.records[0].payload.c_str());
    STRCMP_EQUAL("/streams/configuration/records?from=2&max=7&wait_ms=5000",
                 m_client.calls.at(0).request.target.c_str());
    CHECK(m_client.calls.at(0).timeout == std::chrono::seconds(7));
}

TEST(HttpLogService, PagesWithGapsOrMalformedRecordsAreErrors)
{
    for (const char *body : { "", "[]", R"({"first":0,"end":1})",
                              R"({"first":0,"end":9,"records":[{"offset":1,"payload":"YQ=="}]})",
                              R"({"first":0,"end":9,"records":[{"offset":0,"payload":"Y"}]})",
                              R"({"first":0,"end":9,"records":[{"offset":0}]})",
                              R"({"first":-1,"end":9,"records":[]})" }) {
        answer(200, body);
        CHECK_FALSE_TEXT(m_log->read(m_stream, LogOffset(0), 7, Duration::zero()), body);
    }
}

// A daemon that shuts down must neither wait for a pending long poll nor try the next endpoint.
TEST(HttpLogService, PendingReadCanBeCancelled)
{
    m_client.answer = [this](const MockHttpClient::Call &call) -> HttpResult {
        m_log->cancelReads();
        CHECK(call.cancellation->isCancelled());
        return tl::unexpected<HttpFailure>(
            HttpFailure{ HttpFailureStage::MaybeSent, HttpFailureCause::Cancelled, "test" });
    };
    const auto page = m_log->read(m_stream, LogOffset(0), 1, std::chrono::seconds(30));
    CHECK(page.error().code == ErrorCode::Cancelled);
    CHECK_EQUAL(1, m_client.calls.size());
}

TEST(HttpLogService, Base64RoundTrip)
{
    for (const std::string &bytes : { std::string(), std::string("a"), std::string("ab\0", 3),
                                      std::string("\xff\xfe\x00\x01", 4) }) {
        CHECK(fromBase64(toBase64(bytes)) == bytes);
    }
    for (const char *text : { "Y", "YQ=", "Y===", "Y!==", "====" }) {
        CHECK_TEXT(!fromBase64(text), text);
    }
}
