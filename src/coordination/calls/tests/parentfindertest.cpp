#include "coordination/calls/iparentfinder.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const RuleName PARENT("report");
const RuleName INNER("lookup");
const RuleName CALLERS("menu");

} // namespace

TEST_GROUP(ParentFinder)
{
    TimePoint m_now{ std::chrono::seconds(10) };
    ConnectionTally m_server;
    ConnectionTally m_caller;
    std::unique_ptr<IParentFinder> m_finder = makeParentFinder();

    TimePoint in(int milliseconds) const
    {
        return m_now + std::chrono::milliseconds(milliseconds);
    }
    /// Calls of PARENT end right after such calls were answered; call 1 runs on.
    void learnInner()
    {
        m_finder->onStart(CallId(1), PARENT, in(800));
        for (std::uint64_t i = 0; i < 6; ++i) {
            m_finder->onStart(CallId(100 + i), PARENT, in(790));
            m_finder->find(m_now, m_server, INNER, in(800), RequestSender::Unknown);
            m_finder->onInnerAnswer(m_now, INNER);
            m_finder->onEnd(m_now, CallId(100 + i));
        }
    }
};

TEST(ParentFinder, ACallThatEndsWithARunningOneIsItsChild)
{
    learnInner();
    m_finder->onStart(CallId(2), PARENT, in(500));
    const ParentMatch match =
        m_finder->find(m_now, m_server, INNER, in(501), RequestSender::Unknown);
    CHECK(match.isInner);
    CHECK(match.parent == CallId(2));
}

TEST(ParentFinder, ARequestThatOutlivesAllRunningCallsIsACallers)
{
    m_finder->onStart(CallId(1), PARENT, in(800));
    CHECK(!m_finder->find(m_now, m_caller, CALLERS, in(5000), RequestSender::Unknown).isInner);
}

// 1. Some server gives its calls a shorter deadline of their own: it fits no running call.
// 2. The connection has shown to be the server's, so the call is an admitted request's. Taken for a
//    caller's request it could be refused at the entry, and its whole tree would fail.
TEST(ParentFinder, ACallWithADeadlineOfItsOwnIsKnownByItsConnection)
{
    learnInner();
    const ParentMatch match =
        m_finder->find(m_now, m_server, INNER, in(700), RequestSender::Unknown);
    CHECK(match.isInner);
    CHECK(match.parent == CallId(1));
}

// A caller's request ends with a running call now and then by chance. Taken for an inner call it
// would get past the admission at the entry.
TEST(ParentFinder, AChanceFitDoesNotMakeACallersRequestInner)
{
    m_finder->onStart(CallId(1), PARENT, in(800));
    m_finder->find(m_now, m_caller, CALLERS, in(5000), RequestSender::Unknown);
    CHECK(!m_finder->find(m_now, m_caller, CALLERS, in(800), RequestSender::Unknown).isInner);
}

TEST(ParentFinder, ACallThatEndedIsNoParent)
{
    learnInner();
    m_finder->onEnd(m_now, CallId(1));
    CHECK(!m_finder->find(m_now, m_server, INNER, in(800), RequestSender::Unknown).isInner);
}

// 1. Servers of this deployment give each call a deadline of its own: none ends with its parent.
// 2. A call is answered, and at once a call of some rule ends. So calls of that rule make such
//    calls, and later ones are booked to it; without that no entry would learn what its requests
//    cost the service below.
TEST(ParentFinder, ACallThatEndsRightAfterAnAnswerMadeTheAnsweredOne)
{
    for (std::uint64_t i = 1; i <= 40; ++i) {
        m_finder->onStart(CallId(i), i % 2 == 0 ? PARENT : CALLERS, in(6000));
        if (i % 2 == 0) {
            m_finder->onInnerAnswer(m_now, INNER);
        }
        m_now += std::chrono::microseconds(200);
        m_finder->onEnd(m_now, CallId(i));
        m_now += std::chrono::milliseconds(5);
    }
    m_finder->onStart(CallId(8), CALLERS, in(6000));
    m_finder->onStart(CallId(9), PARENT, in(6000));
    ParentMatch match;
    for (int i = 0; i < 20; ++i) {
        match = m_finder->find(m_now, m_server, INNER, in(700), RequestSender::Unknown);
    }
    CHECK(match.isInner);
    CHECK(match.parent == CallId(9));
}
