#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

#include "coordination/admission/demandrate.h"
#include "coordination/admission/gatefactory.h"
#include "coordination/admission/iconcurrencylimit.h"
#include "coordination/admission/igate.h"
#include "coordination/admission/internal/demandestimate.h"
#include "coordination/admission/internal/floorcontrol.h"
#include "coordination/admission/internal/rankqueue.h"
#include "coordination/admission/internal/ratelimiter.h"
#include "coordination/admission/internal/serverspeed.h"
#include "coordination/admission/servicetimes.h"

namespace ivyspar {

class Gate : public IGate
{
public:
    explicit Gate(const GateOptions &options);

    GateActions offer(TimePoint now, const GateRequest &request) override;
    GateActions finish(TimePoint now, CallId id, CallResult result, Duration serviceTime) override;
    CancelEffect cancel(TimePoint now, CallId id) override;
    GateActions tick(TimePoint now) override;
    TimePoint nextTick() const override;
    GateActions setCapacity(TimePoint now, std::uint32_t slots, std::uint32_t connections) override;
    GateActions setRateLimit(TimePoint now, std::optional<RequestRate> limit) override;
    GateActions setServerLoad(TimePoint now, const ServerLoad &load) override;
    bool tryCountSend(TimePoint now) override;
    Duration reserveSend(TimePoint now) override;
    void setDraining(bool draining) override;
    LoadReport load(TimePoint now) const override;
    std::uint32_t queuedOnTime() const override;
    Duration expectedTime(const RuleName &rule) const override;

private:
    /// Times at which the slots of abandoned calls become free, earliest first.
    using Releases = std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>>;

    struct Running
    {
        RuleName rule;
        WorkStart start;
    };

    void advance(TimePoint now, GateActions &actions);
    void dropDoomed(TimePoint now, GateActions &actions);
    /// `newcomer`: the call that was just submitted, if one was.
    void dropExcess(TimePoint now, const GateRequest *newcomer, GateActions &actions);
    /// Refuses calls that would wait here while another server probably has a free slot.
    void passOn(TimePoint now, GateActions &actions);
    void startWaiting(TimePoint now, GateActions &actions);
    void start(TimePoint now, const QueuedCall &call, GateActions &actions);
    void refuse(CallId id, Reason reason, GateActions &actions);
    void refuseForRate(TimePoint now, CallId id, GateActions &actions);
    GateOrderBasis refusalBasis(TimePoint now, const QueuedCall &refused,
                                const GateRequest *newcomer) const;
    void recordCallDemand(TimePoint now, DemandShare admittedShare);
    DemandLoad rateLoad(TimePoint now) const;
    bool hasFreeSlot() const;
    /// Maximum number of calls of this gate that run at a time.
    std::uint32_t limit() const;
    /// Mean time that a call takes at the present speed, in µs.
    double presentServiceTime() const;
    std::uint32_t occupied() const;
    std::size_t maxQueueLength() const;
    TimePoint latestStart(TimePoint deadline) const;
    void holdSlot(TimePoint now, double share);
    void recordResult(CallResult result, Duration serviceTime);

    GateOptions m_options;
    std::unique_ptr<IConcurrencyLimit> m_limit;
    RankQueue m_queue;
    FloorControl m_floor;
    DemandEstimate m_demand;
    RateLimiter m_rate;
    /// Demand for the upstream, in calls per second, while it states a rate limit.
    DemandRate m_callDemand;
    std::unordered_map<CallId, Running> m_running;
    ServerSpeed m_server;
    Releases m_held;
    std::uint32_t m_ceiling = 0;
    bool m_isDraining = false;
    /// At the usual speed.
    ServiceTimes m_times;
    /// Mean service time at the usual speed, in µs.
    double m_serviceTime = 0;
};

} // namespace ivyspar
