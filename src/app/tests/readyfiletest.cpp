#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "app/readyfile.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

TEST_GROUP(ReadyFile){};

TEST(ReadyFile, HoldsAllEndpoints)
{
    char folder[] = "/tmp/ivyspar-XXXXXX";
    CHECK(mkdtemp(folder) != nullptr);
    const std::string path = std::string(folder) + "/ready.json";
    CHECK(writeReadyFile(
              path, { { "127.0.0.1", 1 }, { "127.0.0.1", 2 }, { "127.0.0.1", 3 }, { "::1", 4 } })
              .has_value());
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    STRCMP_EQUAL("{\"caller\":\"127.0.0.1:1\",\"operator\":\"127.0.0.1:2\",\"peer\":\"[::1]:4\","
                 "\"upstream\":\"127.0.0.1:3\"}\n",
                 text.str().c_str());
    std::remove(path.c_str());
    std::remove(folder);
}

TEST(ReadyFile, UnwritablePathIsAnError)
{
    CHECK_FALSE(writeReadyFile("/none/ready.json", {}).has_value());
}
