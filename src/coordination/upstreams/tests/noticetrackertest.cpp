#include "coordination/upstreams/noticetracker.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const UpstreamRunName RUN("i-1");
const RequestRate SLOW(20000);
const RequestRate FAST(50000);

ResponseNotice limited(RequestRate rate)
{
    ResponseNotice notice;
    notice.rateLimit = rate;
    return notice;
}

ResponseNotice malformed()
{
    ResponseNotice notice;
    notice.isRateLimitMalformed = true;
    return notice;
}

ResponseNotice leaving()
{
    ResponseNotice notice;
    notice.isLeaving = true;
    return notice;
}

} // namespace

TEST_GROUP(NoticeTracker)
{
    TimePoint m_now{ 100s };
    NoticeTracker m_tracker;

    void setup() override
    {
        m_tracker.setRun(RUN);
    }
    /// A response to a request that was sent `ago` before.
    bool respond(const ResponseNotice &notice, Duration ago = 0ms)
    {
        m_now += 100ms;
        return m_tracker.onResponse(m_now - ago, m_now, notice);
    }
    std::optional<RequestRate> limit() const
    {
        return m_tracker.notice().rateLimit;
    }
};

TEST(NoticeTracker, FirstResponseWithoutLimitLiftsIt)
{
    CHECK(respond(limited(SLOW)));
    CHECK(limit() == SLOW);
    CHECK(respond({}));
    CHECK(!limit());
}

// Guards against a limit that is lifted by a response that the server wrote before it stated it.
TEST(NoticeTracker, ResponseThatWasOvertakenDoesNotRaiseTheLimit)
{
    respond(limited(SLOW));
    CHECK_FALSE(respond({}, 150ms));
    CHECK_FALSE(respond(limited(FAST), 250ms));
    CHECK(limit() == SLOW);
    CHECK(respond(limited(FAST), 50ms));
    CHECK(limit() == FAST);
}

TEST(NoticeTracker, ResponseThatWasOvertakenMayLowerTheLimit)
{
    respond(limited(FAST));
    CHECK(respond(limited(SLOW), 150ms));
    CHECK(limit() == SLOW);
}

TEST(NoticeTracker, MalformedLimitChangesNothing)
{
    respond(limited(SLOW));
    CHECK_FALSE(respond(malformed()));
    CHECK(limit() == SLOW);
    CHECK(m_tracker.shouldReportMalformed(malformed()));
    CHECK_FALSE(m_tracker.shouldReportMalformed(malformed()));
}

TEST(NoticeTracker, ShutdownIsFinalForTheRun)
{
    CHECK(respond(leaving()));
    CHECK_FALSE(respond({}));
    CHECK(m_tracker.notice().isLeaving);
    m_tracker.setRun(UpstreamRunName("i-2"));
    CHECK_FALSE(m_tracker.notice().isLeaving);
}

// Guards against a new run that inherits the limit of the run before it at the same address.
TEST(NoticeTracker, NewRunBeginsWithoutLimit)
{
    respond(limited(SLOW));
    m_tracker.setRun(RUN);
    CHECK(limit() == SLOW);
    m_tracker.setRun(UpstreamRunName("i-2"));
    CHECK(!limit());
    CHECK(!m_tracker.forwardedNotice());
}

// Guards against a restarted daemon that sends at full rate to a server whose limit all others
// know.
TEST(NoticeTracker, ForwardedLimitHoldsUntilTheFirstResponse)
{
    CHECK(m_tracker.onForwarded({ RUN, SLOW, false }));
    CHECK(limit() == SLOW);
    CHECK(respond({}));
    CHECK_FALSE(m_tracker.onForwarded({ RUN, SLOW, false }));
    CHECK(!limit());
    CHECK(m_tracker.onForwarded({ RUN, std::nullopt, true }));
    CHECK(m_tracker.notice().isLeaving);
}

TEST(NoticeTracker, ForwardedNoticeOfAnotherRunIsIgnored)
{
    CHECK_FALSE(m_tracker.onForwarded({ UpstreamRunName("i-0"), SLOW, true }));
    CHECK(!limit());
}
