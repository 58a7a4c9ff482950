#include "transport/internal/pipelineledger.h"

#include <algorithm>

namespace ivyspar {

namespace {

/// Each response lowers the expectation by this part.
constexpr std::size_t DECAY_DIVISOR = 32;

} // namespace

void PipelineLedger::onResponse(std::size_t bytes)
{
    const std::size_t decayed = m_expectedResponse - m_expectedResponse / DECAY_DIVISOR;
    m_expectedResponse = std::max(bytes, decayed);
}

} // namespace ivyspar
