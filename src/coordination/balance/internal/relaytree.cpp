#include "coordination/balance/internal/relaytree.h"

#include <algorithm>
#include <unordered_map>

#include <xxhash.h>

namespace ivyspar {

namespace {

/// Positions by which the order moves with each round; odd and large, so that neighbours change.
constexpr std::uint64_t ROUND_STRIDE = 7919;

/// In a domain of up to this many daemons all report to the summing one directly.
constexpr std::size_t MAX_DIRECT_REPORTERS = 32;

std::uint64_t weightOf(const DomainName &domain, const DaemonId &daemon)
{
    const std::string text = domain.value() + '/' + daemon.value();
    return XXH3_64bits(text.data(), text.size());
}

/// A power of two near the square root, so that groups change rarely as daemons come and go.
std::size_t groupCount(std::size_t daemons)
{
    std::size_t groups = 1;
    while (4 * groups * groups <= daemons) {
        groups *= 2;
    }
    return daemons <= MAX_DIRECT_REPORTERS ? 1 : groups;
}

} // namespace

void RelayTree::setMembers(const DaemonId &self, const std::vector<Member> &members)
{
    m_self = self;
    m_daemons.clear();
    m_summing.clear();
    const auto own = std::find_if(members.begin(), members.end(),
                                  [&self](const Member &each) { return each.id == self; });
    if (own != members.end()) {
        m_domain = own->domain;
    }
    std::unordered_map<DomainName, std::uint64_t> highest;
    for (const Member &member : members) {
        if (member.domain == m_domain) {
            m_daemons.push_back(member.id);
        }
        const std::uint64_t weight = weightOf(member.domain, member.id);
        const auto [best, isFirst] = highest.try_emplace(member.domain, weight);
        if (isFirst || weight > best->second) {
            best->second = weight;
            m_summing[member.domain] = member.id;
        }
    }
    std::sort(m_daemons.begin(), m_daemons.end());
    assignGroups();
}

void RelayTree::assignGroups()
{
    struct Collector
    {
        DaemonId daemon;
        std::uint64_t weight = 0;
    };
    m_reportTargets.clear();
    const std::size_t groups = groupCount(m_daemons.size());
    std::vector<Collector> collectors(groups);
    const auto groupOf = [this, groups](const DaemonId &daemon) {
        return weightOf(m_domain, daemon) % groups;
    };
    for (const DaemonId &daemon : m_daemons) {
        Collector &collector = collectors[groupOf(daemon)];
        const std::uint64_t weight = weightOf(m_domain, daemon);
        if (collector.daemon.value().empty() || weight > collector.weight) {
            collector = { daemon, weight };
        }
    }
    for (const DaemonId &daemon : m_daemons) {
        const DaemonId &collector = collectors[groupOf(daemon)].daemon;
        m_reportTargets[daemon] = collector == daemon ? summing() : collector;
    }
}

const DaemonId &RelayTree::reportTarget(const DaemonId &daemon) const
{
    const auto found = m_reportTargets.find(daemon);
    return found == m_reportTargets.end() ? daemon : found->second;
}

const DaemonId &RelayTree::summing() const
{
    const auto found = m_summing.find(m_domain);
    return found == m_summing.end() ? m_self : found->second;
}

std::vector<DaemonId> RelayTree::otherSumming() const
{
    std::vector<DaemonId> others;
    for (const auto &[domain, daemon] : m_summing) {
        if (domain != m_domain) {
            others.push_back(daemon);
        }
    }
    return others;
}

std::vector<DaemonId> RelayTree::children(const DaemonId &origin, std::uint32_t round,
                                          std::size_t fanOut) const
{
    std::vector<DaemonId> order;
    std::copy_if(m_daemons.begin(), m_daemons.end(), std::back_inserter(order),
                 [&origin](const DaemonId &each) { return each != origin; });
    if (order.empty()) {
        return {};
    }
    const auto shift = static_cast<std::ptrdiff_t>(round * ROUND_STRIDE % order.size());
    std::rotate(order.begin(), order.begin() + shift, order.end());
    const auto own = std::find(order.begin(), order.end(), m_self);
    // The origin is the root above the first `fanOut` daemons of the order.
    const std::size_t position =
        m_self == origin ? 0 : static_cast<std::size_t>(own - order.begin()) + 1;
    if (m_self != origin && own == order.end()) {
        return {};
    }
    const std::size_t first = std::min(position * fanOut, order.size());
    const std::size_t last = std::min(first + fanOut, order.size());
    return { order.begin() + static_cast<std::ptrdiff_t>(first),
             order.begin() + static_cast<std::ptrdiff_t>(last) };
}

} // namespace ivyspar
