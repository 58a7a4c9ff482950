#pragma once

#include "state/time.h"

namespace ivyspar {

/// Learns from the calls to a server how far the speed that it states shows in the time that they
/// take. Plain object.
///
/// The work of calls varies, so a single one proves nothing. Over recent calls, the logarithm of
/// the time falls by that of the stated speed if the statements are true, and does not depend on it
/// if they are not.
class SpeedTrust
{
public:
    /// A call took `time` while the server stated that mean speed, relative to its usual one.
    void add(Duration time, double speed);
    /// 1 if the statements are true or nothing is known, 0 if the time does not depend on them.
    double value() const;
    /// The speed to go by, 1 at most.
    double trustedSpeed(double statedSpeed) const;
    /// Logarithm of the time of a call over that of the mean call at this stated speed.
    double excess(Duration time, double speed) const;

private:
    /// Sum of the squared deviations of x.
    double spread() const;
    /// The part of the mean x that nothing confirms, as the server states always the same.
    double unconfirmedMean() const;

    /// What calls at different speeds have shown, kept while all are at the same speed.
    double m_belief = 1;
    /// Sums over recent calls; x is the logarithm of the speed, y that of the time in µs.
    double m_count = 0;
    double m_x = 0;
    double m_y = 0;
    double m_xx = 0;
    double m_xy = 0;
};

} // namespace ivyspar
