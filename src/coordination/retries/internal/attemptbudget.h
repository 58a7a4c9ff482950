#pragma once

#include "coordination/retries/iattemptbudget.h"

namespace ivyspar {

class AttemptBudget : public IAttemptBudget
{
public:
    explicit AttemptBudget(AttemptCount granted);

    AttemptCount left() const override;
    bool spend(AttemptCount needed, AttemptCount wanted, AttemptCount &granted) override;
    void returnUnspent(AttemptCount granted, AttemptCount unspent) override;
    AttemptCount spent() const override;
    AttemptCount close() override;

private:
    std::uint32_t m_granted = 0;
    std::uint32_t m_left = 0;
    /// Attempts granted to callees that have not answered.
    std::uint32_t m_outstanding = 0;
    bool m_isClosed = false;
};

} // namespace ivyspar
