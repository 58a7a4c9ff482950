#include "coordination/once/iticketoffice.h"

#include "coordination/once/oncefactory.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

TEST_GROUP(TicketOffice)
{
    TicketSecret secret{ 1, 2, 3 };
    TicketOptions options;
    TimePoint now{ std::chrono::hours(1) };
    std::unique_ptr<ITicketOffice> office =
        makeTicketOffice(now, DaemonId("rescue.desk-1"), Incarnation(7), secret, options);
    std::uint64_t calls = 0;

    TicketRequest present(const std::string &ticket, std::uint64_t fingerprint = 1)
    {
        return { CallId(++calls), ticket, RequestFingerprint(fingerprint), now + 1s };
    }

    /// The refusal of a request that is refused at once.
    Verdict refusal(const TicketRequest &request)
    {
        const OnceActions actions = office->request(now, request);
        CHECK(actions.proceed.empty());
        CHECK_EQUAL(1, actions.replies.size());
        return actions.replies.front().verdict;
    }

    void runOnce(const TicketRequest &request)
    {
        CHECK(office->request(now, request).proceed.size() == 1);
        CHECK(office->start(now, request.call));
        HttpResponse response;
        response.body = "booked";
        office->finished(now, request.call, { Outcome::Answered, Reason::None, {} }, response);
    }
};

TEST(TicketOffice, OwnerCanBeReadByAnyone)
{
    const auto owner = readTicketOwner(office->issue(now));
    CHECK(owner->daemon == DaemonId("rescue.desk-1") && owner->incarnation == Incarnation(7));
    CHECK_FALSE(readTicketOwner("").has_value());
    CHECK_FALSE(readTicketOwner("a.b.c.d").has_value());
}

TEST(TicketOffice, TicketRunsOnceAndThenGivesTheStoredAnswer)
{
    const std::string ticket = office->issue(now);
    runOnce(present(ticket));
    const OnceActions again = office->request(now, present(ticket));
    CHECK(again.proceed.empty());
    STRCMP_EQUAL("booked", again.replies.front().response.body.c_str());
}

TEST(TicketOffice, SecondAttemptWaitsForTheFirst)
{
    const std::string ticket = office->issue(now);
    const TicketRequest first = present(ticket);
    office->request(now, first);
    CHECK(office->start(now, first.call));
    const OnceActions second = office->request(now, present(ticket));
    CHECK(second.proceed.empty() && second.replies.empty());
    const OnceActions done =
        office->finished(now, first.call, { Outcome::Answered, Reason::None, {} }, {});
    CHECK(done.replies.size() == 1);
    CHECK(done.replies.front().verdict.outcome == Outcome::Answered);
}

TEST(TicketOffice, TicketOfARefusedCallCanBeUsedAgain)
{
    const std::string ticket = office->issue(now);
    const TicketRequest first = present(ticket);
    office->request(now, first);
    CHECK(office->start(now, first.call));
    office->notRun(now, first.call);
    runOnce(present(ticket));
}

TEST(TicketOffice, MadeUpTicketsAreRefused)
{
    std::string ticket = office->issue(now);
    ticket.back() = ticket.back() == '1' ? '2' : '1';
    CHECK(refusal(present(ticket)).reason == Reason::BadRequest);
    CHECK(refusal(present("rescue.desk-1.7.99.1")).reason == Reason::BadRequest);
    CHECK(refusal(present("other.7.1.1")).outcome == Outcome::NotRun);
}

TEST(TicketOffice, OtherRequestWithTheSameTicketIsRefused)
{
    const std::string ticket = office->issue(now);
    runOnce(present(ticket, 1));
    CHECK(refusal(present(ticket, 2)).reason == Reason::BadRequest);
}

// The daemon restarted, or the ticket is too old: it may have been used, and nobody knows.
TEST(TicketOffice, WhatIsForgottenIsUnknown)
{
    const std::string ticket = office->issue(now);
    const auto next =
        makeTicketOffice(now, DaemonId("rescue.desk-1"), Incarnation(8), secret, options);
    const Verdict other = next->request(now, present(ticket)).replies.front().verdict;
    CHECK(other.outcome == Outcome::Unknown && other.reason == Reason::KeyHolderGone);

    for (int i = 0; i < 200; ++i) {
        now += options.lifetime / 50;
        office->issue(now);
        office->tick(now);
    }
    CHECK(refusal(present(ticket)).outcome == Outcome::Unknown);
}

// The process was frozen between taking the ticket and sending the booking.
TEST(TicketOffice, NothingStartsAfterTheDeadline)
{
    const TicketRequest request = present(office->issue(now));
    CHECK(office->request(now, request).proceed.size() == 1);
    CHECK_FALSE(office->start(now + 2s, request.call));
}
