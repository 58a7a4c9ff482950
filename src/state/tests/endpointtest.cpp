#include "state/endpoint.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

TEST_GROUP(Endpoint){};

TEST(Endpoint, ParsesIpv4AndIpv6)
{
    CHECK(Endpoint::parse("127.0.0.1:80").value() == (Endpoint{ "127.0.0.1", 80 }));
    CHECK(Endpoint::parse("[::1]:65535").value() == (Endpoint{ "::1", 65535 }));
    STRCMP_EQUAL("[::1]:65535", (Endpoint{ "::1", 65535 }).text().c_str());
}

TEST(Endpoint, RejectsHostNamesAndInvalidPorts)
{
    for (const char *text : { "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                              "127.0.0.1:8x", ":80", "" }) {
        CHECK_FALSE_TEXT(Endpoint::parse(text).has_value(), text);
    }
}
