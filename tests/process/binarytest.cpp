#include <cstdlib>

#include <sys/wait.h>

#include <CppUTest/TestHarness.h>

TEST_GROUP(Binary){};

TEST(Binary, InvalidUsageExitsWith2)
{
    const int status = std::system(IVYSPAR_BINARY " no-such-command >/dev/null 2>&1");
    CHECK(WIFEXITED(status));
    CHECK_EQUAL(2, WEXITSTATUS(status));
}
