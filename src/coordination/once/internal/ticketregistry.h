#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/once/internal/outcomecache.h"
#include "coordination/once/oncefactory.h"

namespace ivyspar {

class TicketRegistry : public ITicketRegistry
{
public:
    TicketRegistry(TimePoint now, const DaemonId &self, Incarnation incarnation,
                   const TicketSecret &secret, const TicketOptions &options);

    std::string issue(TimePoint now) override;
    OnceActions request(TimePoint now, const TicketRequest &request) override;
    bool start(TimePoint now, CallId call) override;
    OnceActions finished(TimePoint now, CallId call, const Verdict &verdict,
                         const HttpResponse &response) override;
    OnceActions notRun(TimePoint now, CallId call) override;
    OnceActions cancel(TimePoint now, CallId call) override;
    OnceActions tick(TimePoint now) override;

private:
    struct Attempt
    {
        CallId call;
        TimePoint deadline;
    };
    /// State of a ticket that has been presented, with its attempts.
    struct UsedTicket
    {
        RequestFingerprint fingerprint;
        std::optional<Attempt> grantedAttempt;
        bool isStarted = false;
        bool isDone = false;
        std::vector<Attempt> waiters;
    };

    /// Checksum over a ticket, keyed with `m_secret`: rejects tickets that this daemon did not
    /// issue.
    std::uint64_t checksumOf(std::uint64_t counter) const;
    /// The refusal of a request with an unusable ticket; none if it is usable, with its `counter`.
    std::optional<Verdict> refuse(TimePoint now, const TicketRequest &request,
                                  std::uint64_t &counter) const;
    void addWaiter(std::uint64_t counter, UsedTicket &used, const TicketRequest &request);
    void grantNext(TimePoint now, std::uint64_t counter, OnceActions &actions);
    UsedTicket *findByCall(CallId call, std::uint64_t &counter);
    void removeFromIndexes(const Attempt &waiter);
    void replyAll(UsedTicket &used, const StoredOutcome &outcome, OnceActions &actions);
    OnceActions withWakeTime(TimePoint now, OnceActions actions) const;

    const TicketOptions m_options;
    const DaemonId m_self;
    const Incarnation m_incarnation;
    const TicketSecret m_secret;
    OutcomeCache m_outcomeCache;

    std::uint64_t m_lastCounter = 0;
    /// Tickets with a counter up to this one have expired.
    std::uint64_t m_lastExpiredCounter = 0;
    /// At time `second`, the last ticket issued had the counter `first`.
    std::deque<std::pair<std::uint64_t, TimePoint>> m_issueSamples;
    std::unordered_map<std::uint64_t, UsedTicket> m_usedTickets;
    std::set<std::uint64_t> m_usedCounters;
    std::unordered_map<CallId, std::uint64_t> m_byCall;
    std::set<std::pair<TimePoint, CallId>> m_deadlines;
};

} // namespace ivyspar
