#include "coordination/upstreams/othercallstrust.h"

#include <algorithm>

namespace ivyspar {

namespace {

/// Calls of a trial; enough that calls with more work than usual do not confirm it by chance.
constexpr std::uint32_t TRIAL_CALLS = 16;
constexpr std::uint32_t CONFIRMING_REFUSALS = 2;
/// Mean logarithm of the time over the usual time above which calls waited inside the server: 1.35
/// times as long.
constexpr double CONFIRMING_EXCESS = 0.3;
/// A claim counts as lasting between two statements only if they are this close.
constexpr Duration MAX_GAP = std::chrono::milliseconds(250);

} // namespace

void OtherCallsTrust::onStatement(TimePoint now, bool isClaim)
{
    if (m_isClaim) {
        m_claimedFor += std::min(std::chrono::duration_cast<Duration>(now - m_statedAt), MAX_GAP);
    }
    m_isClaim = isClaim;
    m_statedAt = now;
    const bool isBeliefOver = m_phase == Phase::Believed && m_claimedFor >= m_beliefTime;
    const bool isRefutationOver = m_phase == Phase::Refuted && now >= m_refutedUntil;
    if (isClaim && (isBeliefOver || isRefutationOver)) {
        startTrial();
    }
}

void OtherCallsTrust::startTrial()
{
    m_phase = Phase::Trial;
    m_trialCalls = 0;
    m_trialRefusals = 0;
    m_trialExcess = 0;
}

void OtherCallsTrust::onSuccess(TimePoint now, double excess)
{
    if (!isOnTrial()) {
        return;
    }
    ++m_trialCalls;
    m_trialExcess += excess;
    if (m_trialCalls >= TRIAL_CALLS) {
        endTrial(now, m_trialExcess > CONFIRMING_EXCESS * m_trialCalls);
    }
}

void OtherCallsTrust::onOverloaded(TimePoint now)
{
    if (isOnTrial() && ++m_trialRefusals >= CONFIRMING_REFUSALS) {
        endTrial(now, true);
    }
}

void OtherCallsTrust::endTrial(TimePoint now, bool isConfirmed)
{
    m_claimedFor = Duration::zero();
    if (isConfirmed) {
        m_phase = Phase::Believed;
        m_beliefTime = CONFIRMED_BELIEF_TIME;
        m_refutedTime = FIRST_REFUTED_TIME;
        return;
    }
    m_phase = Phase::Refuted;
    m_refutedUntil = now + m_refutedTime;
    m_refutedTime = std::min(2 * m_refutedTime, MAX_REFUTED_TIME);
}

} // namespace ivyspar
