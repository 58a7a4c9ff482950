#include "state/durationtext.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

TEST_GROUP(DurationText){};

TEST(DurationText, EveryUnitRoundTrips)
{
    for (const char *text : { "0s", "1us", "250ms", "2s", "5min", "24h" }) {
        STRCMP_EQUAL(text, toText(parseDuration(text).value()).c_str());
    }
    CHECK(parseDuration("1500ms").value() == Duration(1'500'000));
}

TEST(DurationText, RejectsMissingUnitsAndOutOfRangeValues)
{
    for (const char *text : { "", "5", "ms", "-5ms", "1.5s", "5 ms", "5ms ", "5m", "9999h",
                              "99999999999999999999s", "9223372036854775807h" }) {
        CHECK_FALSE_TEXT(parseDuration(text).has_value(), text);
    }
}
