#pragma once

#include <cstddef>

#include "transport/ihttpserver.h"

namespace ivyspar {

/// What all connections of a server hold for requests that are handled before their turn.
class PipelineLedger
{
public:
    void hold(std::size_t bytes) { m_stats.bytes += bytes; }
    void release(std::size_t bytes) { m_stats.bytes -= bytes; }
    /// Bytes to reserve for the response to a request that starts before its turn. Follows the
    /// largest of the recent responses to such requests.
    std::size_t expectedResponse() const { return m_expectedResponse; }
    void onResponse(std::size_t bytes);
    /// Another request was answered. Without this, one response above a limit would end the
    /// handling before the turn, and with it the responses that lower the expectation.
    void onOtherResponse();

    const PipelineStats &stats() const { return m_stats; }
    PipelineStats &stats() { return m_stats; }

private:
    /// Reserved for a response before any is known.
    static constexpr std::size_t INITIAL_RESPONSE_BYTES = 64 * 1024;

    std::size_t decayedResponse() const;

    PipelineStats m_stats;
    std::size_t m_expectedResponse = INITIAL_RESPONSE_BYTES;
};

} // namespace ivyspar
