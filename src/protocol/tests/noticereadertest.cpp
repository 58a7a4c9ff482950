#include "protocol/noticereader.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const NoticeHeaders NAMES{ "Rate", "Leaving" };

ResponseNotice read(const std::vector<HttpHeader> &headers)
{
    return readNotice(headers, NAMES);
}

} // namespace

TEST_GROUP(NoticeReader){};

TEST(NoticeReader, DecimalNumbersAreRates)
{
    CHECK(parseRequestRate("55") == RequestRate(55000));
    CHECK(parseRequestRate("44.9") == RequestRate(44900));
    CHECK(parseRequestRate("0.3") == RequestRate(300));
    CHECK(parseRequestRate("0") == RequestRate(0));
    CHECK(parseRequestRate("007.12349") == RequestRate(7123));
}

// Guards against limits that are taken from text that is not a decimal number.
TEST(NoticeReader, OtherTextIsNoRate)
{
    const std::vector<std::string> texts{ "",    "abc", "-1",  "+1",    "nan",
                                          "inf", "1e9", "4,5", "1.",    ".5",
                                          " 5",  "1 2", "0x5", "1.2.3", std::string(400, '9') };
    for (const std::string &text : texts) {
        CHECK_TEXT(!parseRequestRate(text), text.c_str());
        CHECK(read({ { "rate", text } }).isRateLimitMalformed);
    }
}

TEST(NoticeReader, AbsentLimitIsNotMalformed)
{
    const ResponseNotice notice = read({ { "Other", "5" } });
    CHECK(!notice.rateLimit);
    CHECK_FALSE(notice.isRateLimitMalformed);
}

// Guards against an arbitrary choice between two limits in one response.
TEST(NoticeReader, TwoLimitsAreMalformed)
{
    const ResponseNotice notice = read({ { "Rate", "5" }, { "Rate", "7" } });
    CHECK(!notice.rateLimit);
    CHECK(notice.isRateLimitMalformed);
}

TEST(NoticeReader, OnlyOneMeansLeaving)
{
    CHECK(read({ { "leaving", "1" } }).isLeaving);
    for (const std::string text : { "", "0", "true", "11" }) {
        CHECK_FALSE(read({ { "Leaving", text } }).isLeaving);
    }
}
