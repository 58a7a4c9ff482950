#pragma once

#include "state/ids.h"

namespace ivyspar {

/// Attempts left for one call and all calls below it. Invariant: the attempts granted to the budget
/// equal those spent here, plus those granted to callees that have not answered, plus those left,
/// plus those lost.
class IAttemptBudget
{
public:
    virtual ~IAttemptBudget() = default;

    virtual AttemptCount left() const = 0;
    /// Spends one attempt on a callee and sets `granted` to the attempts handed over to it: at
    /// least `needed`, at most `wanted`. Beyond `needed`, enough is kept for one whole second
    /// attempt if possible. Returns false and changes nothing if fewer than `needed` attempts would
    /// be left: the callee could not finish, and its work would be wasted.
    virtual bool spend(AttemptCount needed, AttemptCount wanted, AttemptCount &granted) = 0;
    /// Takes back what a callee did not spend of its grant. Accepts no more than is outstanding.
    virtual void returnUnspent(AttemptCount granted, AttemptCount unspent) = 0;
    /// Attempts spent here and by callees that answered. A grant whose answer is lost is never
    /// returned and stays outstanding.
    virtual AttemptCount spent() const = 0;
    /// Closes the budget and returns what is left. Attempts returned afterwards are lost, because
    /// the caller of this call was already told how many were unspent.
    virtual AttemptCount close() = 0;
};

} // namespace ivyspar
