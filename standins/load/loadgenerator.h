#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "standins/graph/callgraph.h"
#include "state/irandom.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"

namespace ivyspar::lab {

/// One kind of request in the mix.
struct LoadKind
{
    std::string className;
    GraphCall call;
    /// Relative frequency.
    double weight = 1;
    /// Sends an idempotency key, the same one on all attempts.
    bool hasKey = false;
};

/// A stretch of time with a steady rate.
struct LoadPhase
{
    Duration length{ 0 };
    /// Requests a second, all kinds together.
    double rate = 0;
    /// Multiplies the weight of kinds of this class; empty for none.
    std::string floodClass;
    double floodFactor = 1;
};

struct CallerBehaviour
{
    /// Attempts that a caller makes of one request, the first included.
    std::uint32_t attempts = 1;
    /// Waits for the time that a refusal names; otherwise comes back after `retryDelay`.
    bool honoursRetryAfter = true;
    Duration retryDelay = std::chrono::milliseconds(20);
    /// Time that a caller waits for one attempt.
    Duration patience = std::chrono::seconds(2);
    /// Time after which a caller gives a request up, over all attempts.
    Duration giveUp = std::chrono::seconds(4);
};

enum class LoadResult {
    Completed, ///< The whole answer to this very request.
    Refused, ///< The last attempt's answer was "not run".
    Failed, ///< Unknown outcome, or the upstream's own error.
    TimedOut, ///< The caller's patience ended first.
    Wrong, ///< 200 with another answer than its own.
};

struct LoadRecord
{
    std::string token;
    std::uint32_t kind = 0;
    /// When the request was due, from the start of the load.
    Duration intended{ 0 };
    /// From the due time to the last answer.
    Duration latency{ 0 };
    LoadResult result = LoadResult::Failed;
    /// What the last answer said, when it was not the whole answer.
    std::string trouble = "no answer";
    std::uint32_t callerAttempts = 0;
    /// Attempts that the entry reported, over all of the caller's attempts.
    std::uint32_t entryAttempts = 0;
    /// At least one attempt was answered "not run" / ended otherwise than by "not run".
    std::uint32_t notRunAttempts = 0;
};

struct LoadPlan
{
    std::vector<LoadKind> kinds;
    std::vector<LoadPhase> phases;
    CallerBehaviour callers;
    std::vector<Endpoint> entries;
    /// Put before the path: `/service` of the call is always there; used to call upstreams
    /// directly.
    bool isDirect = false;
    std::uint64_t seed = 1;
};

/// Open-loop load: requests are due at times drawn in advance, whatever becomes of earlier ones.
class LoadGenerator
{
public:
    LoadGenerator(IEventLoop &loop, const CallGraph &graph, LoadPlan plan);
    ~LoadGenerator();

    /// Suspends the calling fiber until the last request ended.
    void run();
    const std::vector<LoadRecord> &records() const { return m_records; }

private:
    void sendOne(std::size_t index);
    HttpRequest makeRequest(const LoadRecord &record, const LoadKind &kind, std::uint32_t attempt,
                            const std::string &requestId) const;
    /// True when the request is over; otherwise `wait` says when to come back.
    bool judge(const HttpResult &result, const LoadKind &kind, LoadRecord &record,
               Duration &wait) const;
    std::uint32_t pickKind(const LoadPhase &phase);
    void schedulePhase(const LoadPhase &phase, TimePoint phaseStart);

    IEventLoop &m_loop;
    const CallGraph &m_graph;
    LoadPlan m_plan;
    std::unique_ptr<IRandom> m_random;
    std::unique_ptr<IHttpClient> m_client;
    std::vector<LoadRecord> m_records;
    TimePoint m_startedAt;
    std::size_t m_open = 0;
};

} // namespace ivyspar::lab
