#include "app/daemon.h"

#include <cstdio>

namespace ivyspar {

int runDaemon(const DaemonSettings & /*settings*/)
{
    std::fputs("ivyspar daemon: not implemented\n", stderr);
    return 1;
}

} // namespace ivyspar
