#pragma once

#include <optional>
#include <string>
#include <vector>

#include "state/time.h"

namespace ivyspar::lab {

/// Judges whether a server gets more than it states in its responses.
class NoticeJudge
{
public:
    /// A request arrived.
    void onArrival(TimePoint now);
    /// A response was sent that states this rate, or none, and perhaps that the server leaves.
    void onResponse(TimePoint now, std::optional<double> perSecond, bool isLeaving);
    /// Another run begins.
    void startRun();
    /// A line for each violation so far.
    const std::vector<std::string> &violations() const { return m_violations; }
    std::size_t arrivals() const { return m_arrivalCount; }

private:
    void checkRate(TimePoint now);

    std::optional<double> m_rate;
    TimePoint m_statedSince;
    std::optional<TimePoint> m_leavingSince;
    /// Arrivals since the rate was stated, as far as they matter.
    std::vector<TimePoint> m_arrivals;
    std::size_t m_arrivalCount = 0;
    std::vector<std::string> m_violations;
};

} // namespace ivyspar::lab
