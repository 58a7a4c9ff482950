#pragma once

#include "state/ids.h"

namespace ivyspar {

/// Attempts left for one call and all calls below it. Conservation: what was granted to the budget
/// equals what was spent here, plus what is out with callees, plus what is left, plus what was
/// lost.
class IAttemptBudget
{
public:
    virtual ~IAttemptBudget() = default;

    virtual AttemptCount left() const = 0;
    /// Spends one attempt on a callee and takes a grant for it out of the rest: at least `needed`,
    /// at most `wanted`. What goes beyond `needed` leaves enough for one whole second attempt, if
    /// there is that much. False, and nothing changes, when less than `needed` would be left: the
    /// callee could not finish, and its work would be wasted.
    virtual bool spend(AttemptCount needed, AttemptCount wanted, AttemptCount &granted) = 0;
    /// The callee's answer brought back part of its grant. Never more than is out is accepted.
    virtual void returnUnspent(AttemptCount granted, AttemptCount unspent) = 0;
    /// Spent by this budget and by callees that answered. A grant whose answer is lost stays out
    /// for good: it is never given back.
    virtual AttemptCount spent() const = 0;
    /// Ends the budget and returns what is left. From then on nothing is left here, and what comes
    /// back is lost: the caller of this call was already told how much was unspent.
    virtual AttemptCount close() = 0;
};

} // namespace ivyspar
