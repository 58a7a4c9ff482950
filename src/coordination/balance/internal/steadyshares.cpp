#include "coordination/balance/internal/steadyshares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ivyspar {

namespace {

/// Largest deviation from the target: larger ones come from a change of demand or capacity, not
/// from random arrivals.
constexpr double MAX_DEVIATION = 0.03;

bool hasSameDomains(const std::vector<DomainShare> &a, const std::vector<DomainShare> &b)
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(),
        [](const DomainShare &one, const DomainShare &two) { return one.domain == two.domain; });
}

} // namespace

void SteadyShares::update(TimePoint now, std::vector<DomainShare> targets, Duration timeConstant)
{
    std::sort(targets.begin(), targets.end(),
              [](const DomainShare &a, const DomainShare &b) { return a.domain < b.domain; });
    const auto elapsed = static_cast<double>(
        std::max(std::chrono::duration_cast<Duration>(now - m_updatedAt), Duration::zero())
            .count());
    m_updatedAt = now;
    if (!hasSameDomains(m_shares, targets)) {
        m_shares = std::move(targets);
        return;
    }
    const double weight = 1 - std::exp(-elapsed / static_cast<double>(timeConstant.count()));
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const double target = targets[i].share;
        const double share = m_shares[i].share + weight * (target - m_shares[i].share);
        m_shares[i].share = std::clamp(share, target - MAX_DEVIATION, target + MAX_DEVIATION);
    }
}

} // namespace ivyspar
