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
    void learnInner()
    {
        m_finder->onStart(CallId(1), PARENT, in(800));
        for (int i = 0; i < 5; ++i) {
            m_finder->find(m_server, INNER, in(800));
        }
    }
};

TEST(ParentFinder, ACallThatEndsWithARunningOneIsItsChild)
{
    learnInner();
    m_finder->onStart(CallId(2), PARENT, in(500));
    const Parentage parentage = m_finder->find(m_server, INNER, in(501));
    CHECK(parentage.isInner);
    CHECK(*parentage.parent == CallId(2));
}

TEST(ParentFinder, ARequestThatOutlivesAllRunningCallsIsACallers)
{
    m_finder->onStart(CallId(1), PARENT, in(800));
    CHECK(!m_finder->find(m_caller, CALLERS, in(5000)).isInner);
}

// 1. Some server gives its calls a shorter deadline of their own: it fits no running call.
// 2. The connection has shown to be the server's, so the call is an admitted request's. Taken for a
//    caller's request it could be refused at the entry, and its whole tree would fail.
TEST(ParentFinder, ACallWithADeadlineOfItsOwnIsKnownByItsConnection)
{
    learnInner();
    const Parentage parentage = m_finder->find(m_server, INNER, in(700));
    CHECK(parentage.isInner);
    CHECK(*parentage.parent == CallId(1));
}

// A caller's request ends with a running call now and then by chance. Taken for an inner call it
// would get past the admission at the entry.
TEST(ParentFinder, AChanceFitDoesNotMakeACallersRequestInner)
{
    m_finder->onStart(CallId(1), PARENT, in(800));
    m_finder->find(m_caller, CALLERS, in(5000));
    CHECK(!m_finder->find(m_caller, CALLERS, in(800)).isInner);
}

TEST(ParentFinder, ACallThatEndedIsNoParent)
{
    learnInner();
    m_finder->onEnd(CallId(1));
    CHECK(!m_finder->find(m_server, INNER, in(800)).isInner);
}
