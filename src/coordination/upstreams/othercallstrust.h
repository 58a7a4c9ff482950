#pragma once

#include <cstdint>

#include "state/time.h"

namespace ivyspar {

/// Decides whether to believe a server that states that others' calls fill it. Plain object.
///
/// Such a statement keeps the gate from sending calls, so nothing the gate sees could contradict
/// it. It is therefore believed for a short time only. After that the gate sends calls regardless,
/// and believes the statement again only if these calls are refused or take longer than usual.
class OtherCallsTrust
{
public:
    /// The server stated its load. `isClaim`: it states calls of others.
    void onStatement(TimePoint now, bool isClaim);
    bool isBelieved() const { return m_phase == Phase::Believed; }
    /// Whether calls that have to wait inside the server if the statement is true are to be
    /// reported here.
    bool isOnTrial() const { return m_phase == Phase::Trial; }
    /// Such a call succeeded; `excess` is the logarithm of its time over the usual time.
    void onSuccess(TimePoint now, double excess);
    /// Such a call was refused for lack of capacity.
    void onOverloaded(TimePoint now);

private:
    enum class Phase { Believed, Trial, Refuted };

    void startTrial();
    void endTrial(TimePoint now, bool isConfirmed);

    Phase m_phase = Phase::Believed;
    bool m_isClaim = false;
    TimePoint m_statedAt;
    /// Time for which the claim was made since it began to be believed.
    Duration m_claimedFor{ 0 };
    Duration m_beliefTime = FIRST_BELIEF_TIME;
    TimePoint m_refutedUntil;
    Duration m_refutedTime = FIRST_REFUTED_TIME;
    std::uint32_t m_trialCalls = 0;
    std::uint32_t m_trialRefusals = 0;
    double m_trialExcess = 0;

    static constexpr Duration FIRST_BELIEF_TIME = std::chrono::milliseconds(500);
    static constexpr Duration CONFIRMED_BELIEF_TIME = std::chrono::seconds(1);
    static constexpr Duration FIRST_REFUTED_TIME = std::chrono::seconds(5);
    static constexpr Duration MAX_REFUTED_TIME = std::chrono::seconds(40);
};

} // namespace ivyspar
