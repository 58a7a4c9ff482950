#include "tests/knownred.h"

#include <cstdlib>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char **argv)
{
    // Statics of the libraries would be reported as leaks; AddressSanitizer finds the real ones.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    // The detector has noted what statics took before `main`, inside the memory itself. Once one of
    // them gives it back, its list leads into memory of others, and the run ends with a crash at
    // the end of some test.
    MemoryLeakWarningPlugin::destroyGlobalDetector();
    // RapidCheck draws a seed of its own otherwise: the same verdict every time needs a fixed one.
    constexpr int KEEP_EXISTING = 0;
    setenv("RC_PARAMS", "seed=20261202", KEEP_EXISTING);
    if (const char *list = std::getenv("IVYSPAR_KNOWN_RED")) {
        ivyspar::excludeKnownRedTests(list);
    }
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
