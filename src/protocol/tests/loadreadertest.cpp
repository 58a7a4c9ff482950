#include "protocol/loadreader.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

constexpr char NAME[] = "Server-Load";

LoadStatement read(const std::string &text)
{
    return readLoad({ { "server-load", text } }, NAME);
}

} // namespace

TEST_GROUP(LoadReader){};

TEST(LoadReader, ReadsThreeAndFourFigures)
{
    const LoadStatement three = read("3,1,8");
    CHECK_EQUAL(3, three.load->running);
    CHECK_EQUAL(1, three.load->waiting);
    CHECK_EQUAL(8, three.load->slots);
    CHECK(!three.load->workTime);
    CHECK(read("0,0,8,250").load->workTime == WorkTimePercent(250));
}

// Guards against a part of a malformed text that is taken for a load.
TEST(LoadReader, RejectsMalformedTexts)
{
    for (const char *text : { "",
                              "3",
                              "3,1",
                              "3,1,8,",
                              "3,1,8,100,1",
                              "3,1,8,100 ",
                              "3,1,8x",
                              " 3,1,8",
                              "3, 1,8",
                              "-3,1,8",
                              "+3,1,8",
                              "3,1,0",
                              "3,1,8,0",
                              "3,1,8,-1",
                              "3,1,8,1e2",
                              "3,1,8,2.5",
                              "3,,8",
                              "3,1,4294967296",
                              "3,1,8,99999999999999999999",
                              "3,1,8,nan" }) {
        CHECK_TEXT(read(text).isMalformed, text);
        CHECK_TEXT(!read(text).load, text);
    }
}

TEST(LoadReader, TwoHeadersAreMalformed)
{
    const LoadStatement twice = readLoad({ { NAME, "3,1,8" }, { NAME, "3,1,8" } }, NAME);
    CHECK(twice.isMalformed);
    CHECK(!twice.load);
}

TEST(LoadReader, MissingHeaderIsNotMalformed)
{
    const LoadStatement none = readLoad({ { "Other", "3,1,8" } }, NAME);
    CHECK_FALSE(none.isMalformed);
    CHECK(!none.load);
}
