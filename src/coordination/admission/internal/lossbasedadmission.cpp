#include "coordination/admission/internal/lossbasedadmission.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {

/// Retries per call are limited; they do not suffice for a larger loss.
constexpr double MAX_RETRYABLE_LOSS = 0.8;

} // namespace

LossBasedAdmission::LossBasedAdmission(const LossBasedAdmissionOptions &options)
    : m_options(options)
{
}

void LossBasedAdmission::onReport(TimePoint now, const ServiceUsage &usage)
{
    Service &service = m_services[usage.service];
    const double reported =
        static_cast<double>(usage.loss.value()) / static_cast<double>(WHOLE_LOSS.value());
    const double known = lossOf(now, service);
    service.loss = known + m_options.reportWeight * (reported - known);
    service.reportedAt = now;
}

double LossBasedAdmission::onArrival(TimePoint now, Priority priority,
                                     const std::vector<TreeCalls> &tree)
{
    double successProbability = 1;
    double retryable = 1;
    for (const TreeCalls &each : tree) {
        Service &service = m_services[each.service];
        service.calls[priority].add(now, each.calls, m_options.averagingTime);
        const double loss = lossOf(now, service);
        if (loss < m_options.minLoss) {
            continue;
        }
        const double share = retryableShare(now, service, loss, priority);
        successProbability *= std::pow(1 - loss * (1 - share), each.calls);
        retryable = std::min(retryable, share);
    }
    // Started in full, `successProbability` of the call trees complete; started in part, all that
    // are started do.
    if (!m_options.isOn
        || (successProbability >= retryable
            && successProbability >= m_options.minSuccessProbability)) {
        return 1;
    }
    return std::max(retryable, m_options.probeShare);
}

double LossBasedAdmission::lossOf(TimePoint now, const Service &service) const
{
    return now - service.reportedAt > m_options.reportHold ? 0 : service.loss;
}

double LossBasedAdmission::retryableShare(TimePoint now, const Service &service, double loss,
                                          Priority priority) const
{
    if (loss > MAX_RETRYABLE_LOSS) {
        return 0;
    }
    const double retriesPerCall = loss / (1 - loss);
    double all = 0;
    double above = 0;
    double own = 0;
    for (const auto &[each, calls] : service.calls) {
        const double rate = calls.rate(now, m_options.averagingTime);
        all += rate;
        above += each > priority ? rate : 0;
        own += each == priority ? rate : 0;
    }
    const double left = m_options.retryRatio * all - retriesPerCall * above;
    return own <= 0 ? 1 : std::clamp(left / (retriesPerCall * own), 0.0, 1.0);
}

} // namespace ivyspar
