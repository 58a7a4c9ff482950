#include "coordination/retries/internal/attemptbudget.h"

#include <algorithm>

namespace ivyspar {

AttemptBudget::AttemptBudget(AttemptCount granted)
    : m_granted(granted.value())
    , m_left(granted.value())
{
}

AttemptCount AttemptBudget::left() const
{
    return AttemptCount(m_left);
}

bool AttemptBudget::spend(AttemptCount needed, AttemptCount wanted, AttemptCount &granted)
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
    m_outstanding += grant;
    granted = AttemptCount(grant);
    return true;
}

void AttemptBudget::returnUnspent(AttemptCount granted, AttemptCount unspent)
{
    if (m_isClosed) {
        return;
    }
    const std::uint32_t out = std::min(granted.value(), m_outstanding);
    // A callee that returns more than it was granted must not create attempts.
    const std::uint32_t back = std::min(unspent.value(), out);
    m_outstanding -= out;
    m_left += back;
}

AttemptCount AttemptBudget::spent() const
{
    return AttemptCount(m_granted - m_left - m_outstanding);
}

AttemptCount AttemptBudget::close()
{
    const AttemptCount unspent(m_left);
    m_left = 0;
    m_isClosed = true;
    return unspent;
}

} // namespace ivyspar
