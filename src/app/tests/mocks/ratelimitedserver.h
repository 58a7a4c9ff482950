#pragma once

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "protocol/headers.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"

namespace ivyspar {

/// Requests that a server with that limit may get in any span of the given length: one and a half
/// times the limit, and five.
inline std::size_t maxAllowedIn(Duration span, double requestsPerSecond)
{
    constexpr double TOLERANCE = 1.5;
    constexpr double SLACK = 5;
    const double seconds = std::chrono::duration<double>(span).count();
    return static_cast<std::size_t>(std::floor(TOLERANCE * requestsPerSecond * seconds + SLACK));
}

/// Maximum number of arrivals in any span of that length.
inline std::size_t maxArrivalsIn(const std::vector<TimePoint> &arrivals, Duration span)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] >= span) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// A server that states a rate limit or its shutdown in its responses and records its arrivals.
class RateLimitedServer : public IHttpClient
{
public:
    explicit RateLimitedServer(IEventLoop &loop)
        : m_loop(loop)
    {
    }

    /// The text of the header; an empty text is sent as well.
    void stateLimit(std::string text) { m_limits = { std::move(text) }; }
    void stateLimits(std::vector<std::string> texts) { m_limits = std::move(texts); }
    void liftLimit() { m_limits.clear(); }
    void stateLeaving() { m_isLeaving = true; }
    void stopLeaving() { m_isLeaving = false; }
    void setStatus(std::uint16_t status) { m_status = status; }
    /// Refuses all requests without running them.
    void refuseAll() { m_isRefusing = true; }

    /// All further requests time out.
    void stopAnswering() { m_isSilent = true; }

    std::size_t arrivals() const { return m_arrivals.size(); }
    std::size_t arrivalsSince(TimePoint start) const
    {
        std::size_t count = 0;
        for (const TimePoint arrival : m_arrivals) {
            count += arrival >= start ? 1 : 0;
        }
        return count;
    }
    std::size_t maxArrivalsIn(Duration span) const
    {
        return ivyspar::maxArrivalsIn(m_arrivals, span);
    }

    HttpResult exchange(const Endpoint & /*endpoint*/, const HttpRequest & /*request*/,
                        Duration /*timeout*/, HttpCancellationPtr /*cancellation*/) override
    {
        m_arrivals.push_back(m_loop.now());
        if (m_isSilent) {
            return tl::unexpected<HttpFailure>(HttpFailure{
                HttpFailureStage::MaybeSent, HttpFailureCause::Timeout, "no response" });
        }
        HttpResponse response{ m_status, {}, "done" };
        if (m_isRefusing) {
            response.status = 503;
            response.headers.push_back({ headers::UPSTREAM_OUTCOME, "not-run" });
        }
        for (const std::string &limit : m_limits) {
            response.headers.push_back({ headers::UPSTREAM_RATE_LIMIT, limit });
        }
        if (m_isLeaving) {
            response.headers.push_back({ headers::UPSTREAM_LEAVING, "1" });
        }
        return response;
    }
    bool isListening(const Endpoint & /*endpoint*/) override { return true; }
    void setConnectionLimit(const Endpoint & /*endpoint*/, std::size_t /*connections*/) override { }
    void preconnect(const Endpoint & /*endpoint*/, std::size_t /*connections*/) override { }

private:
    IEventLoop &m_loop;
    std::vector<TimePoint> m_arrivals;
    std::vector<std::string> m_limits;
    std::uint16_t m_status = 200;
    bool m_isLeaving = false;
    bool m_isRefusing = false;
    bool m_isSilent = false;
};

} // namespace ivyspar
