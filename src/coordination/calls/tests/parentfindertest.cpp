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
    /// Lets the finder learn that INNER is called from within PARENT: each PARENT call ends right
    /// after an INNER call was answered. Call 1 keeps running.
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

TEST(ParentFinder, CallWithTheDeadlineOfARunningCallIsItsChild)
{
    learnInner();
    m_finder->onStart(CallId(2), PARENT, in(500));
    const ParentMatch match =
        m_finder->find(m_now, m_server, INNER, in(501), RequestSender::Unknown);
    CHECK(match.isInner);
    CHECK(match.parent == CallId(2));
}

TEST(ParentFinder, RequestThatOutlivesAllRunningCallsComesFromACaller)
{
    m_finder->onStart(CallId(1), PARENT, in(800));
    CHECK(!m_finder->find(m_now, m_caller, CALLERS, in(5000), RequestSender::Unknown).isInner);
}

// A server gives its calls a shorter deadline of their own, which matches no running call. The
// connection is known to be the server's, so the call belongs to an admitted request. Taken for a
// caller's request it could be refused at the entry, and its whole call tree would fail.
TEST(ParentFinder, CallWithADeadlineOfItsOwnIsRecognizedByItsConnection)
{
    learnInner();
    const ParentMatch match =
        m_finder->find(m_now, m_server, INNER, in(700), RequestSender::Unknown);
    CHECK(match.isInner);
    CHECK(match.parent == CallId(1));
}

// The deadline of a caller's request may match that of a running call by chance. Taken for an inner
// call it would bypass the admission at the entry.
TEST(ParentFinder, MatchByChanceDoesNotMakeARequestInner)
{
    m_finder->onStart(CallId(1), PARENT, in(800));
    m_finder->find(m_now, m_caller, CALLERS, in(5000), RequestSender::Unknown);
    CHECK(!m_finder->find(m_now, m_caller, CALLERS, in(800), RequestSender::Unknown).isInner);
}

TEST(ParentFinder, EndedCallIsNoParent)
{
    learnInner();
    m_finder->onEnd(m_now, CallId(1));
    CHECK(!m_finder->find(m_now, m_server, INNER, in(800), RequestSender::Unknown).isInner);
}

// Servers of this deployment give each call a deadline of its own, so none matches its parent's. A
// call is answered, and right after that a call of some rule ends: calls of that rule make such
// calls, and later ones are booked to it. Without that no entry would learn what its requests cost
// the service below.
TEST(ParentFinder, RuleWhoseCallsEndRightAfterAnAnswerIsTheParent)
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
