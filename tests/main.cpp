#include "tests/knownred.h"

#include <cstdlib>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char **argv)
{
    // CppUTest would report static objects of the libraries as leaks. AddressSanitizer detects the
    // real leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    // The detector keeps its records of allocations made before `main` inside the allocated blocks.
    // When a static object frees such a block, the list of records points into reused memory and
    // the run crashes at the end of a test.
    MemoryLeakWarningPlugin::destroyGlobalDetector();
    // RapidCheck uses a random seed by default. A fixed seed makes the results reproducible.
    constexpr int KEEP_EXISTING = 0;
    setenv("RC_PARAMS", "seed=20261202", KEEP_EXISTING);
    if (const char *list = std::getenv("IVYSPAR_KNOWN_RED")) {
        ivyspar::excludeKnownRedTests(list);
    }
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
