#include "coordination/balance/internal/demandmeter.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace ivyspar {

namespace {

/// Bounds the weight of one call: a smaller share is known from too few admitted requests.
constexpr std::uint32_t MIN_ADMITTED_SHARE = 50;
/// Calls per second below which a service is dropped.
constexpr double NEGLIGIBLE_RATE = 0.001;

double toNumber(std::uint32_t value)
{
    return static_cast<double>(value);
}

} // namespace

DemandMeter::DemandMeter(const DomainBalanceOptions &options)
    : m_options(options)
{
}

void DemandMeter::onCall(TimePoint now, const ServiceName &service, DemandShare admittedShare)
{
    const DemandShare share = admittedShare == DemandShare() ? WHOLE_DEMAND : admittedShare;
    const double calls =
        toNumber(WHOLE_DEMAND.value()) / toNumber(std::max(share.value(), MIN_ADMITTED_SHARE));
    m_services[service].calls.add(now, calls, m_options.rateTime);
}

void DemandMeter::onAnswer(TimePoint now, const ServiceName &service, Duration slotTime,
                           SpeedShare speed)
{
    if (slotTime <= Duration::zero()) {
        return; // Answered without its server.
    }
    Service &state = m_services[service];
    const SpeedShare known = speed == SpeedShare() ? USUAL_SPEED : speed;
    const double workUs = static_cast<double>(slotTime.count()) * toNumber(known.value())
        / toNumber(USUAL_SPEED.value());
    const double elapsed =
        std::max(toSeconds(std::chrono::duration_cast<Duration>(now - state.answeredAt)), 0.0);
    state.answers = 1 + state.answers * std::exp(-elapsed / toSeconds(m_options.workTime));
    state.answeredAt = now;
    state.workUs += (workUs - state.workUs) / state.answers;
}

std::vector<ReportedWork> DemandMeter::report(TimePoint now)
{
    std::vector<ReportedWork> report;
    for (auto it = m_services.begin(); it != m_services.end();) {
        const double rate = it->second.calls.rate(now, m_options.rateTime);
        if (rate < NEGLIGIBLE_RATE) {
            it = m_services.erase(it);
            continue;
        }
        report.push_back({ it->first, rate, Duration(std::llround(it->second.workUs)), 0 });
        ++it;
    }
    return report;
}

} // namespace ivyspar
