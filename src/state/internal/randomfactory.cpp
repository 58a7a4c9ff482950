#include "state/randomfactory.h"

#include <random>

#include "state/internal/seededrandom.h"

namespace ivyspar {

std::unique_ptr<IRandom> makeRandom()
{
    constexpr unsigned WORD_BITS = 32;
    std::random_device device;
    return std::make_unique<SeededRandom>((std::uint64_t(device()) << WORD_BITS) | device());
}

} // namespace ivyspar
