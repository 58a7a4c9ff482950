#pragma once

#include <random>

#include "state/irandom.h"

namespace ivyspar {

class SeededRandom : public IRandom
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace ivyspar
