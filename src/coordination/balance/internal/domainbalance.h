#pragma once

#include <map>
#include <unordered_map>

#include "coordination/balance/idomainbalance.h"
#include "coordination/balance/internal/demandmeter.h"
#include "coordination/balance/internal/relaytree.h"
#include "coordination/balance/internal/steadyshares.h"

namespace ivyspar {

class DomainBalance : public IDomainBalance
{
public:
    explicit DomainBalance(const DomainBalanceOptions &options);

    void setMembers(TimePoint now, const DaemonId &self,
                    const std::vector<Member> &members) override;
    void onCall(TimePoint now, const ServiceName &service, DemandShare admittedShare) override;
    void onAnswer(TimePoint now, const ServiceName &service, Duration slotTime,
                  SpeedShare speed) override;
    void setCapacities(std::unordered_map<ServiceName, double> capacities) override;
    void receive(TimePoint now, const DaemonId &from, const BalanceMessage &message) override;
    void tick(TimePoint now) override;
    OutgoingBalanceMessages takeOutgoing() override;
    const SharesByService &shares() const override { return m_shares; }
    std::optional<Duration> newsAge(TimePoint now) const override;
    std::vector<BalanceStatus> statuses(TimePoint now) const override;

private:
    using WorkByService = std::map<ServiceName, DomainWork>;
    struct Report
    {
        std::uint32_t round = 0;
        TimePoint at;
        std::uint32_t reporters = 0;
        std::vector<ReportedWork> services;
    };
    struct Sums
    {
        DaemonId origin;
        std::uint32_t round = 0;
        TimePoint receivedAt;
        TimePoint madeAt;
        WorkByService services;
    };
    using SumsByDomain = std::map<DomainName, Sums>;

    static bool hasServiceInSeveralDomains(const std::vector<Member> &members);
    BalanceReport makeOwnReport(TimePoint now);
    /// The sum of this daemon's report and those that others sent to it.
    BalanceReport collect(TimePoint now) const;
    void receiveReport(TimePoint now, const DaemonId &from, const BalanceReport &report);
    void receiveNews(TimePoint now, const BalanceNews &news);
    /// Whether news of this round follows what was last received from the same or another origin.
    bool isNewer(TimePoint now, const Sums &last, const BalanceNews &news) const;
    /// The sums of the own failure domain, if enough of its daemons have reported.
    std::optional<WorkByService> addUp(TimePoint now) const;
    void tellSums(TimePoint now);
    void tellDomain(TimePoint now);
    BalanceNews makeNews(TimePoint now, const SumsByDomain &sums) const;
    void relay(const BalanceNews &news);
    bool isFresh(TimePoint now, const Sums &sums) const;
    std::map<ServiceName, std::vector<DomainWork>> freshWork(TimePoint now) const;
    void updateShares(TimePoint now);

    DomainBalanceOptions m_options;
    DemandMeter m_meter;
    RelayTree m_tree;
    std::unordered_map<ServiceName, double> m_capacities;
    /// Servers of one service were found in several failure domains since the start.
    bool m_isNeeded = false;
    std::uint32_t m_round = 0;
    std::unordered_map<DaemonId, Report> m_reports;
    /// The latest news of the own failure domain, by the origin of its message.
    Sums m_lastNews;
    /// Known to this daemon as the summing one, from the summing daemons of the other domains.
    SumsByDomain m_otherDomains;
    /// What shares are computed from.
    SumsByDomain m_sums;
    std::unordered_map<ServiceName, SteadyShares> m_steady;
    SharesByService m_shares;
    OutgoingBalanceMessages m_outgoing;
};

} // namespace ivyspar
