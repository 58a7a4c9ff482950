#include "standins/lab.h"

#include <cstdio>

namespace ivyspar::lab {

namespace {
constexpr int EXIT_USAGE = 2;
} // namespace

int runLab(int /*argc*/, char ** /*argv*/)
{
    std::puts("usage: ivyspar-lab COMMAND");
    return EXIT_USAGE;
}

} // namespace ivyspar::lab
