#include "transport/internal/pipelineledger.h"

#include <algorithm>

namespace ivyspar {

namespace {

/// Each response lowers the expectation by this part.
constexpr std::size_t DECAY_DIVISOR = 32;

} // namespace

void PipelineLedger::onResponse(std::size_t bytes)
{
    m_expectedResponse = std::max(bytes, decayedResponse());
}

void PipelineLedger::onOtherResponse()
{
    if (m_expectedResponse > INITIAL_RESPONSE_BYTES) {
        m_expectedResponse = std::max(INITIAL_RESPONSE_BYTES, decayedResponse());
    }
}

std::size_t PipelineLedger::decayedResponse() const
{
    return m_expectedResponse - m_expectedResponse / DECAY_DIVISOR;
}

} // namespace ivyspar
