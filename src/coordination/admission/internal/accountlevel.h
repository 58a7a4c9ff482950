#pragma once

#include "coordination/admission/demandrate.h"
#include "coordination/admission/iaccountshares.h"

namespace ivyspar {

/// Common level of the accounts that compete at one service and priority, and the balance of the
/// room and what was admitted. Plain object.
///
/// The level is found by stochastic approximation: it rises with the room and falls with what
/// accounts are entitled to, so in the mean these are equal. This takes constant time per request,
/// where solving for the level takes a sort of all accounts.
class AccountLevel
{
public:
    /// `options` outlives the object.
    explicit AccountLevel(const AccountSharesOptions &options);

    /// Adds the room of a request, in µs of slot time, and its cost to the mean cost.
    void addRoom(TimePoint now, double room, double cost);
    /// Reports demand over weight of an account: the level needs to be no higher than the largest.
    void recordDemand(TimePoint now, double relativeDemand);
    /// Whether to admit a request of an account with (or without) credit.
    bool admits(bool isEntitled) const;
    /// Takes the cost of an admitted request out of the balance, and moves the level.
    void record(bool isEntitled, bool isAdmitted, double cost);

    /// Slot time per second and unit of weight, in µs.
    double value() const { return m_value; }
    double meanCost() const { return m_meanCost; }

private:
    const AccountSharesOptions &m_options;
    double m_value = 0;
    double m_meanCost = 0;
    double m_peak = 0;
    TimePoint m_peakAt;
    DemandRate m_roomRate;
    /// Room of the request that is being decided.
    double m_room = 0;
    double m_balance = 0;
    /// Bound of the balance in both directions.
    double m_bound = 0;
};

} // namespace ivyspar
