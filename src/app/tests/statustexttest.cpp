#include "app/internal/commands/statustext.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

TEST_GROUP(StatusText){};

TEST(StatusText, IndentsObjectsAndLists)
{
    const auto text = toStatusText(R"({"id":"d1","members":[{"id":"d2","load":3}],"ports":[1,2]})");
    STRCMP_EQUAL("id: d1\n"
                 "members:\n"
                 "  -\n"
                 "    id: d2\n"
                 "    load: 3\n"
                 "ports: [1,2]\n",
                 text->c_str());
}

TEST(StatusText, RejectsMalformedAndAcceptsDeeplyNestedInput)
{
    for (const char *text : { "", "[]", "{", "nonsense" }) {
        CHECK_FALSE(toStatusText(text).has_value());
    }
    const std::string deep =
        R"({"a":)" + std::string(100'000, '[') + std::string(100'000, ']') + '}';
    CHECK(toStatusText(deep).has_value());
}
