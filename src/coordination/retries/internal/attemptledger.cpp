#include "coordination/retries/internal/attemptledger.h"

#include <algorithm>

namespace ivyspar {

AttemptLedger::AttemptLedger(AttemptCount granted)
    : m_granted(granted.value())
    , m_left(granted.value())
{
}

AttemptCount AttemptLedger::left() const
{
    return AttemptCount(m_left);
}

bool AttemptLedger::spend(AttemptCount needed, AttemptCount wanted, AttemptCount &granted)
{
    if (m_left < 1 + needed.value()) {
        return false;
    }
    --m_left;
    const std::uint32_t secondAttempt = 1 + needed.value();
    const std::uint32_t kept = std::min(secondAttempt, m_left - needed.value());
    const std::uint32_t most = std::max(wanted.value(), needed.value());
    const std::uint32_t grant = std::min(most, m_left - kept);
    m_left -= grant;
    m_out += grant;
    granted = AttemptCount(grant);
    return true;
}

void AttemptLedger::giveBack(AttemptCount granted, AttemptCount unspent)
{
    if (m_isClosed) {
        return;
    }
    const std::uint32_t out = std::min(granted.value(), m_out);
    // A callee that returns more than it was granted must not create attempts.
    const std::uint32_t back = std::min(unspent.value(), out);
    m_out -= out;
    m_left += back;
}

AttemptCount AttemptLedger::spent() const
{
    return AttemptCount(m_granted - m_left - m_out);
}

AttemptCount AttemptLedger::close()
{
    const AttemptCount unspent(m_left);
    m_left = 0;
    m_isClosed = true;
    return unspent;
}

} // namespace ivyspar
