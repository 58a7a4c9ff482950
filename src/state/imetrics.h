#pragma once

#include <cstdint>
#include <string>

#include "state/ids.h"
#include "state/outcome.h"
#include "state/time.h"

namespace ivyspar {

/// Monotonic counters. Their names and help texts are in internal/metricnames.cpp.
enum class Counter {
    FirstAttempts,
    RetryAttempts,
    HedgeAttempts,
    HedgesWon,
    Cancels,
    GateStarts,
    GateRefusals,
    ObjectivesMet,
    ObjectivesMissed,
    GateLateStarts,
    GateDisplacements,
    ServerSends,
    ServerRepeats,
    ServerRejections,
    ForeignResponses,
    ServerCrashes,
    NoticeChanges,
    NoticesMalformed,
    LoadStatementsRead,
    LoadStatementsMalformed,
    LoadStatementsIgnored,
    Quarantines,
    LimitRefusals,
    AccountShareRefusals,
    AccountMessages,
    CallsBalanced,
    CallsSpilled,
    BalanceMessages,
    ClaimsWon,
    ClaimsLost,
    ClaimsUnsettled,
    LogAppends,
    LogAppendFailures,
    LogReads,
    LogReadFailures,
    PeerFramesSent,
    PeerFramesReceived,
    PeerFramesMalformed,
    PeerBytesSent,
    PeerBytesReceived,
    PeerResponsesUnsent,
    PeerLinksOpened,
    PeerLinksLost,
    DatagramsSent,
    DatagramsReceived,
    DatagramsMalformed,
    DatagramBytesSent,
    DatagramBytesReceived,
    ControlByLink,
    MalformedRequests,
    ConnectionsRefused,
    PipelinedStarts,
    PipelinedTurnWaits,
    PipelinedOrderWaits,
    PipelinedLimitWaits,
    ConfigurationsAccepted,
    ConfigurationsRejected,
    LogLinesDropped,
    UncaughtExceptions,
    ResponsesUndelivered,
    RequestBodiesDropped,
    ResponseBodiesDropped,
    Count, ///< Number of values above.
};

/// Current values.
enum class Gauge {
    RequestsInFlight,
    GateInFlight,
    GateQueued,
    GateQueuedOnTime,
    GateLimit,
    GateFloorPriority,
    GateRateLimit,
    GateSendRate,
    GateServerSpeed,
    CallerConnections,
    PipelinedRequests,
    PipelinedBytes,
    RequestBytes,
    ResponseBytes,
    PeerLinks,
    ActiveAccounts,
    SuspectRequests,
    QuarantinedRequests,
    Members,
    ConfigurationVersion,
    ConfigurationAgeSeconds,
    BalanceNewsAgeMillis,
    Count, ///< Number of values above.
};

/// Histograms of durations.
enum class Timing {
    Request, ///< From the arrival of a caller's request to its response.
    AddedByDaemons, ///< The same without the time taken by the upstream.
    Upstream, ///< From sending to the upstream to its complete response.
    GateWait, ///< From the arrival at the gate to the start.
    ReadLag, ///< Delay of the event loop's timers when a request or call was read.
    LogAppend,
    LogRead,
    Count, ///< Number of values above.
};

/// A daemon's metrics. Thread-safe and lock-free.
class IMetrics
{
public:
    virtual ~IMetrics() = default;

    virtual void add(Counter counter, std::uint64_t amount = 1) = 0;
    /// Counts a completed request of a caller. Priority 0 if no rule matched.
    virtual void countRequest(const Verdict &verdict, Priority priority) = 0;
    virtual void set(Gauge gauge, std::int64_t value) = 0;
    virtual void observe(Timing timing, Duration duration) = 0;
    /// All values in the Prometheus text format.
    virtual std::string text() const = 0;
};

} // namespace ivyspar
