#include "app/commandline.h"

#include <cstdio>

namespace ivyspar {

namespace {
constexpr int EXIT_USAGE = 2;
} // namespace

int runCommandLine(int /*argc*/, char ** /*argv*/)
{
    std::puts("ivyspar 0.1.0");
    return EXIT_USAGE;
}

} // namespace ivyspar
