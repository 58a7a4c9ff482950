#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "coordination/admission/internal/demandestimate.h"
#include "coordination/admission/irootadmission.h"
#include "state/internal/seededrandom.h"

namespace ivyspar {

/// Client account of a modelled load.
struct ModelAccount
{
    /// Usual demand, relative to the other accounts; also its weight, unless weights are equal.
    double usual = 0;
    /// Factor by which it exceeds its usual demand now.
    double factor = 1;
    /// Its requests arrive at the first entry only.
    bool isAtOneEntry = false;
    Priority priority = Priority(10);
    /// Index of its rule; requests of other accounts are spread evenly over all rules.
    std::optional<std::size_t> rule;
    /// Requests in the measured time, and slot time admitted, in s.
    double asked = 0;
    double admitted = 0;
    double admittedTime = 0;

    double share() const { return asked > 0 ? admitted / asked : 1; }
};

struct AccountLoadOptions
{
    std::size_t entries = 20;
    /// Usual requests per second of all accounts together.
    double rate = 2000;
    /// Usual demand over capacity.
    double load = 1;
    bool hasEqualWeights = false;
    /// False: accounts are not told apart.
    bool hasClaims = true;
    /// Slot times of the rules.
    std::vector<Duration> costs = { std::chrono::milliseconds(100) };
    std::uint64_t seed = 1;
};

/// Requests of client accounts at several entry daemons, whose call trees reach one narrow service.
/// The service reports its load as gates do, from what the admitted requests represent.
class AccountLoad
{
public:
    AccountLoad(AccountLoadOptions options, std::vector<ModelAccount> all);

    /// Accounts whose demand falls with their rank.
    static std::vector<ModelAccount> makeAccounts(std::size_t count = 80);

    void run(Duration time);
    /// Runs for `warmUp` and counts from then on for `time`.
    void measure(Duration warmUp, Duration time);
    /// Replaces an entry by one that has learned nothing.
    void restart(std::size_t entry) { m_entries[entry] = makeRootAdmission(); }
    /// The entries decide nothing for this time.
    void pause(Duration time) { m_now += time; }
    /// Entries of the first half reach only half of the capacity, those of the other half the rest.
    void cut() { m_isCut = true; }

    /// Admitted slot time over what fits.
    double usedRoom() const;
    /// Demand as the services see it, over the real one.
    double representedShare() const { return m_represented / m_asked; }
    /// Mean admitted share of the tenth of the accounts with the lowest one, accounts that exceed
    /// their usual demand left out.
    double worstTenth() const;

    std::vector<ModelAccount> accounts;

private:
    double demand() const;
    double meanCost() const;
    std::size_t drawAccount();
    void arrive();
    void decide(std::size_t index, std::size_t entry);
    double weightOf(const ModelAccount &account) const;

    AccountLoadOptions m_options;
    SeededRandom m_random;
    TimePoint m_now{ std::chrono::seconds(100) };
    std::vector<std::unique_ptr<IRootAdmission>> m_entries;
    /// The second one is used after a cut only.
    DemandEstimate m_gates[2] = { DemandEstimate({}), DemandEstimate({}) };
    bool m_isCut = false;
    double m_usual = 0;
    Duration m_measured{ 0 };
    /// Slot time, in s.
    double m_asked = 0;
    double m_admitted = 0;
    double m_represented = 0;
};

} // namespace ivyspar
