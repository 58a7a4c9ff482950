#include "coordination/admission/internal/successodds.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {

/// Each call may be sent a few times more; with a larger loss that is not enough.
constexpr double LARGEST_MENDED_LOSS = 0.8;

} // namespace

SuccessOdds::SuccessOdds(const SuccessOddsOptions &options)
    : m_options(options)
{
}

void SuccessOdds::learn(TimePoint now, const ServiceUsage &usage)
{
    Service &service = m_services[usage.service];
    const double told =
        static_cast<double>(usage.loss.value()) / static_cast<double>(WHOLE_LOSS.value());
    const double known = lossOf(now, service);
    service.loss = known + m_options.weight * (told - known);
    service.toldAt = now;
}

double SuccessOdds::onArrival(TimePoint now, Priority priority, const std::vector<TreeCalls> &tree)
{
    double chance = 1;
    double mended = 1;
    for (const TreeCalls &each : tree) {
        Service &service = m_services[each.service];
        service.calls[priority].add(now, each.calls, m_options.memory);
        const double loss = lossOf(now, service);
        if (loss < m_options.leastLoss) {
            continue;
        }
        const double share = mendable(now, service, loss, priority);
        chance *= std::pow(1 - loss * (1 - share), each.calls);
        mended = std::min(mended, share);
    }
    // Begun one and all, `chance` of them end whole; begun in part, all that are begun do.
    if (!m_options.isOn || (chance >= mended && chance >= m_options.leastChance)) {
        return 1;
    }
    return std::max(mended, m_options.probes);
}

double SuccessOdds::lossOf(TimePoint now, const Service &service) const
{
    return now - service.toldAt > m_options.hold ? 0 : service.loss;
}

double SuccessOdds::mendable(TimePoint now, const Service &service, double loss,
                             Priority priority) const
{
    if (loss > LARGEST_MENDED_LOSS) {
        return 0;
    }
    const double repeatsPerCall = loss / (1 - loss);
    double all = 0;
    double above = 0;
    double own = 0;
    for (const auto &[each, calls] : service.calls) {
        const double rate = calls.rate(now, m_options.memory);
        all += rate;
        above += each > priority ? rate : 0;
        own += each == priority ? rate : 0;
    }
    const double left = m_options.repeatRatio * all - repeatsPerCall * above;
    return own <= 0 ? 1 : std::clamp(left / (repeatsPerCall * own), 0.0, 1.0);
}

} // namespace ivyspar
