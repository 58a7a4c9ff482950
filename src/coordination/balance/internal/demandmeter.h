#pragma once

#include <unordered_map>
#include <vector>

#include "coordination/admission/demandrate.h"
#include "coordination/balance/balancemessages.h"
#include "coordination/balance/idomainbalance.h"

namespace ivyspar {

/// Measures the calls of one host to each service, and their slot time. Plain object.
class DemandMeter
{
public:
    explicit DemandMeter(const DomainBalanceOptions &options);

    void onCall(TimePoint now, const ServiceName &service, DemandShare admittedShare);
    void onAnswer(TimePoint now, const ServiceName &service, Duration slotTime, SpeedShare speed);
    /// Services without calls for long are dropped. Capacities are zero.
    std::vector<ReportedWork> report(TimePoint now);

private:
    struct Service
    {
        DemandRate calls;
        TimePoint answeredAt;
        double workUs = 0;
        /// Exponentially decayed number of answers that `workUs` is the mean of.
        double answers = 0;
    };

    const DomainBalanceOptions &m_options;
    std::unordered_map<ServiceName, Service> m_services;
};

} // namespace ivyspar
