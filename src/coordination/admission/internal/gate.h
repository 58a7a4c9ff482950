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
    bool tryCountSend(TimePoint now) override;
    Duration reserveSend(TimePoint now) override;
    void setDraining(bool draining) override;
    LoadReport load(TimePoint now) const override;
    std::uint32_t queuedOnTime() const override;
    Duration expectedTime(const RuleName &rule) const override;

private:
    /// Times at which the slots of abandoned calls become free, earliest first.
    using Releases = std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>>;

    void advance(TimePoint now, GateActions &actions);
    void dropDoomed(TimePoint now, GateActions &actions);
    /// `newcomer`: the call that was just submitted, if one was.
    void dropExcess(TimePoint now, const GateRequest *newcomer, GateActions &actions);
    void startWaiting(TimePoint now, GateActions &actions);
    void start(TimePoint now, const QueuedCall &call, GateActions &actions);
    void refuse(CallId id, Reason reason, GateActions &actions);
    void refuseForRate(TimePoint now, CallId id, GateActions &actions);
    GateOrderBasis refusalBasis(TimePoint now, const QueuedCall &refused,
                                const GateRequest *newcomer) const;
    void recordCallDemand(TimePoint now, DemandShare admittedShare);
    DemandLoad rateLoad(TimePoint now) const;
    bool hasFreeSlot() const;
    std::uint32_t occupied() const;
    std::size_t maxQueueLength() const;
    TimePoint latestStart(TimePoint deadline) const;
    void holdSlot(TimePoint now, double share);
    void recordResult(TimePoint now, CallResult result, Duration serviceTime,
                      std::uint32_t inFlight);

    GateOptions m_options;
    std::unique_ptr<IConcurrencyLimit> m_limit;
    RankQueue m_queue;
    FloorControl m_floor;
    DemandEstimate m_demand;
    RateLimiter m_rate;
    /// Demand for the upstream, in calls per second, while it states a rate limit.
    DemandRate m_callDemand;
    /// Running calls with their rules.
    std::unordered_map<CallId, RuleName> m_running;
    Releases m_held;
    std::uint32_t m_ceiling = 0;
    bool m_isDraining = false;
    ServiceTimes m_times;
    /// Mean service time, in µs.
    double m_serviceTime = 0;
};

} // namespace ivyspar
