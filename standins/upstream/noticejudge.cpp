#include "standins/upstream/noticejudge.h"

#include <algorithm>

namespace ivyspar::lab {

namespace {

/// Time that a statement may take to reach all that heed it.
constexpr Duration LIMIT_DELAY = std::chrono::milliseconds(500);
constexpr Duration LEAVING_DELAY = std::chrono::seconds(1);
constexpr Duration SPAN = std::chrono::seconds(4);
constexpr double TOLERANCE = 1.5;
constexpr double SLACK = 5;

} // namespace

void NoticeJudge::onArrival(TimePoint now)
{
    ++m_arrivalCount;
    if (m_leavingSince && now - *m_leavingSince > LEAVING_DELAY) {
        m_violations.push_back(
            "a request arrived "
            + std::to_string(toMillis(std::chrono::duration_cast<Duration>(now - *m_leavingSince)))
            + " ms after the server had said that it leaves");
    }
    if (m_rate && now - m_statedSince > LIMIT_DELAY) {
        checkRate(now);
    }
}

void NoticeJudge::checkRate(TimePoint now)
{
    m_arrivals.push_back(now);
    m_arrivals.erase(std::remove_if(m_arrivals.begin(), m_arrivals.end(),
                                    [now](TimePoint arrival) { return now - arrival >= SPAN; }),
                     m_arrivals.end());
    const double allowed = TOLERANCE * *m_rate * toSeconds(SPAN) + SLACK;
    if (static_cast<double>(m_arrivals.size()) > allowed) {
        m_violations.push_back(std::to_string(m_arrivals.size()) + " requests in 4 s at a rate of "
                               + std::to_string(*m_rate) + " a second");
    }
}

void NoticeJudge::onResponse(TimePoint now, std::optional<double> perSecond, bool isLeaving)
{
    if (isLeaving && !m_leavingSince) {
        m_leavingSince = now;
    }
    if (perSecond != m_rate) {
        m_rate = perSecond;
        m_statedSince = now;
        m_arrivals.clear();
    }
}

void NoticeJudge::startRun()
{
    m_rate.reset();
    m_leavingSince.reset();
    m_arrivals.clear();
}

} // namespace ivyspar::lab
