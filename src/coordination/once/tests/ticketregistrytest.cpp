#include "coordination/once/iticketregistry.h"

#include "coordination/once/oncefactory.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

TEST_GROUP(TicketRegistry)
{
    TicketSecret secret{ 1, 2, 3 };
    TicketOptions options;
    TimePoint now{ std::chrono::hours(1) };
    std::unique_ptr<ITicketRegistry> registry =
        makeTicketRegistry(now, DaemonId("rescue.desk-1"), Incarnation(7), secret, options);
    std::uint64_t calls = 0;

    TicketRequest present(const std::string &ticket, std::uint64_t fingerprint = 1)
    {
        return { CallId(++calls), ticket, RequestFingerprint(fingerprint), now + 1s };
    }

    /// The verdict of a request that is refused immediately.
    Verdict refusal(const TicketRequest &request)
    {
        const OnceActions actions = registry->request(now, request);
        CHECK(actions.proceed.empty());
        CHECK_EQUAL(1, actions.replies.size());
        return actions.replies.front().verdict;
    }

    void runOnce(const TicketRequest &request)
    {
        CHECK(registry->request(now, request).proceed.size() == 1);
        CHECK(registry->start(now, request.call));
        HttpResponse response;
        response.body = "booked";
        registry->finished(now, request.call, { Outcome::Answered, Reason::None, {} }, response);
    }
};

TEST(TicketRegistry, OwnerIsReadFromTheTicketAlone)
{
    const auto owner = readTicketOwner(registry->issue(now));
    CHECK(owner->daemon == DaemonId("rescue.desk-1") && owner->incarnation == Incarnation(7));
    CHECK_FALSE(readTicketOwner("").has_value());
    CHECK_FALSE(readTicketOwner("a.b.c.d").has_value());
}

TEST(TicketRegistry, TicketRunsOnceAndThenReturnsTheStoredResponse)
{
    const std::string ticket = registry->issue(now);
    runOnce(present(ticket));
    const OnceActions again = registry->request(now, present(ticket));
    CHECK(again.proceed.empty());
    STRCMP_EQUAL("booked", again.replies.front().response.body.c_str());
}

TEST(TicketRegistry, SecondAttemptWaitsForTheFirst)
{
    const std::string ticket = registry->issue(now);
    const TicketRequest first = present(ticket);
    registry->request(now, first);
    CHECK(registry->start(now, first.call));
    const OnceActions second = registry->request(now, present(ticket));
    CHECK(second.proceed.empty() && second.replies.empty());
    const OnceActions done =
        registry->finished(now, first.call, { Outcome::Answered, Reason::None, {} }, {});
    CHECK(done.replies.size() == 1);
    CHECK(done.replies.front().verdict.outcome == Outcome::Answered);
}

TEST(TicketRegistry, TicketOfACallThatDidNotRunCanBeUsedAgain)
{
    const std::string ticket = registry->issue(now);
    const TicketRequest first = present(ticket);
    registry->request(now, first);
    CHECK(registry->start(now, first.call));
    registry->notRun(now, first.call);
    runOnce(present(ticket));
}

TEST(TicketRegistry, ForgedTicketsAreRefused)
{
    std::string ticket = registry->issue(now);
    ticket.back() = ticket.back() == '1' ? '2' : '1';
    CHECK(refusal(present(ticket)).reason == Reason::BadRequest);
    CHECK(refusal(present("rescue.desk-1.7.99.1")).reason == Reason::BadRequest);
    CHECK(refusal(present("other.7.1.1")).outcome == Outcome::NotRun);
}

TEST(TicketRegistry, DifferentRequestWithTheSameTicketIsRefused)
{
    const std::string ticket = registry->issue(now);
    runOnce(present(ticket, 1));
    CHECK(refusal(present(ticket, 2)).reason == Reason::BadRequest);
}

// After a restart of the daemon, or once the ticket has expired, it is not known whether the ticket
// was used. Guards against reporting its request as not run.
TEST(TicketRegistry, TicketOfAnEarlierRunOrExpiredHasUnknownOutcome)
{
    const std::string ticket = registry->issue(now);
    const auto next =
        makeTicketRegistry(now, DaemonId("rescue.desk-1"), Incarnation(8), secret, options);
    const Verdict other = next->request(now, present(ticket)).replies.front().verdict;
    CHECK(other.outcome == Outcome::Unknown && other.reason == Reason::KeyHolderGone);

    for (int i = 0; i < 200; ++i) {
        now += options.lifetime / 50;
        registry->issue(now);
        registry->tick(now);
    }
    CHECK(refusal(present(ticket)).outcome == Outcome::Unknown);
}

// Guards against a booking that is sent late because the process was suspended after the grant.
TEST(TicketRegistry, NothingStartsAfterTheDeadline)
{
    const TicketRequest request = present(registry->issue(now));
    CHECK(registry->request(now, request).proceed.size() == 1);
    CHECK_FALSE(registry->start(now + 2s, request.call));
}
