#include "app/publish.h"

#include <cstdio>

namespace ivyspar {

int runPublish(const PublishSettings & /*settings*/)
{
    std::fputs("ivyspar publish: not implemented\n", stderr);
    return 1;
}

} // namespace ivyspar
