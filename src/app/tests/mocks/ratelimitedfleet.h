#pragma once

#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/tests/mocks/inlineeventloop.h"
#include "coordination/admission/gatefactory.h"
#include "coordination/calls/internal/entrycall.h"
#include "coordination/retries/internal/attemptbudget.h"
#include "coordination/retries/retrypolicyfactory.h"
#include "coordination/routing/routerfactory.h"
#include "coordination/upstreams/noticetracker.h"
#include "state/internal/seededrandom.h"
#include "state/rank.h"

namespace ivyspar {

/// Hosts with an entry daemon, a gate and a server of one service each, in two failure domains.
/// Servers may state a rate limit; all requests arrive at the entries in turn.
class RateLimitedFleet
{
public:
    struct Totals
    {
        std::uint32_t requests = 0;
        std::uint32_t served = 0;
        std::uint32_t importantRequests = 0;
        std::uint32_t importantServed = 0;
        /// Attempts that a gate refused.
        std::uint32_t refusedAttempts = 0;
        /// Requests that ended as not run without a time to come back.
        std::uint32_t endsWithoutRetryAfter = 0;
    };

    explicit RateLimitedFleet(std::size_t hosts)
        : m_hosts(hosts)
    {
        std::vector<Member> members;
        for (std::size_t i = 0; i < hosts; ++i) {
            members.push_back(memberOf(i));
        }
        for (std::size_t i = 0; i < hosts; ++i) {
            startHost(i, members);
        }
    }

    void setLimit(std::size_t host, std::optional<double> perSecond)
    {
        m_hosts[host].limit = perSecond;
    }
    /// Plays that demand and returns what became of it; arrivals of earlier runs are forgotten.
    Totals run(Duration length, double requestsPerSecond, double importantShare = 0)
    {
        m_importantShare = importantShare;
        m_totals = Totals();
        for (Host &host : m_hosts) {
            host.arrivals.clear();
        }
        const TimePoint end = m_loop.now() + length;
        while (m_loop.now() < end) {
            const double gap = -std::log(1 - m_random.unit()) / requestsPerSecond;
            m_loop.advance(Duration(std::llround(gap * 1e6)));
            request(m_random.below(m_hosts.size()));
        }
        return m_totals;
    }
    const std::vector<TimePoint> &arrivals(std::size_t host) const
    {
        return m_hosts[host].arrivals;
    }

private:
    struct Host
    {
        std::unique_ptr<IGate> gate;
        std::unique_ptr<IRouter> router;
        std::unique_ptr<IRetryPolicy> retries;
        NoticeTracker notices;
        std::optional<double> limit;
        std::vector<TimePoint> arrivals;
    };
    /// One request at its entry.
    struct Request
    {
        Request(EntryPolicies policies, EntryCallOptions options)
            : budget(options.rule.attempts)
            , call(policies, budget, std::move(options))
        {
        }

        AttemptBudget budget;
        EntryCall call;
        Rank rank;
        bool isImportant = false;
    };
    using RequestPtr = std::shared_ptr<Request>;
    /// An attempt while it is at a gate.
    struct Attempt
    {
        RequestPtr request;
        AttemptIndex index;
        AttemptCount granted;
        TimePoint sentAt;
    };

    static constexpr Duration LINK_DELAY = std::chrono::microseconds(500);
    static constexpr Duration SERVICE_TIME = std::chrono::milliseconds(60);
    static constexpr std::uint32_t SLOTS = 60;

    static ServiceName service() { return ServiceName("catalogo"); }
    static DaemonId daemonOf(std::size_t host) { return DaemonId("host-" + std::to_string(host)); }
    static DomainName domainOf(std::size_t host)
    {
        return DomainName(host % 2 == 0 ? "sala-a" : "sala-b");
    }
    static Member memberOf(std::size_t host)
    {
        Member member;
        member.id = daemonOf(host);
        member.incarnation = Incarnation(1);
        member.domain = domainOf(host);
        member.upstreams = { { service(), SLOTS, SLOTS, false } };
        return member;
    }
    std::size_t hostOf(const DaemonId &daemon) const
    {
        return std::stoul(daemon.value().substr(daemon.value().find('-') + 1));
    }

    void startHost(std::size_t index, const std::vector<Member> &members)
    {
        Host &host = m_hosts[index];
        GateOptions gate;
        gate.slots = SLOTS;
        gate.connections = SLOTS;
        host.gate = makeGate(gate);
        host.notices.setRun(UpstreamRunName(daemonOf(index).value()));
        RouterOptions router;
        router.domain = domainOf(index);
        host.router = makeRouter(router);
        host.router->setMembers(m_loop.now(), members);
        host.retries = makeRetryPolicy(RetryOptions{});
    }

    void request(std::size_t entry)
    {
        Host &host = m_hosts[entry];
        EntryCallOptions options;
        options.rule.service = service();
        options.rule.attempts = AttemptCount(3);
        options.rule.repetition = Repetition::Idempotent;
        const bool isImportant = m_importantShare > 0 && m_random.unit() < m_importantShare;
        const Priority priority(isImportant ? 90 : 50);
        options.rank = makeRank(priority, Depth(0), RootId(m_random.next()));
        options.rule.priority = priority;
        const Rank rank = options.rank;
        options.deadline = m_loop.now() + std::chrono::seconds(1);
        auto request = std::make_shared<Request>(
            EntryPolicies{ *host.router, *host.retries, m_random }, std::move(options));
        request->rank = rank;
        request->isImportant = isImportant;
        ++m_totals.requests;
        m_totals.importantRequests += isImportant ? 1 : 0;
        perform(request, request->call.start(m_loop.now()));
    }

    void perform(const RequestPtr &request, const EntryActions &actions)
    {
        for (const EntryAction &action : actions) {
            if (action.type == EntryActionType::Send) {
                const Attempt attempt{ request, action.attempt, action.granted, m_loop.now() };
                const std::size_t target = hostOf(action.target);
                m_loop.callLater(LINK_DELAY, [this, target, attempt] { arrive(target, attempt); });
            }
            if (action.type == EntryActionType::Finish) {
                end(*request, action.verdict);
            }
        }
    }

    void end(const Request &request, const Verdict &verdict)
    {
        const bool isServed = verdict.outcome == Outcome::Answered;
        m_totals.served += isServed ? 1 : 0;
        m_totals.importantServed += isServed && request.isImportant ? 1 : 0;
        const bool isNotRun = verdict.outcome == Outcome::NotRun;
        m_totals.endsWithoutRetryAfter +=
            isNotRun && verdict.retryAfter <= Duration::zero() ? 1 : 0;
    }

    void arrive(std::size_t target, const Attempt &attempt)
    {
        const CallId id(++m_lastCall);
        m_attempts.emplace(id, attempt);
        const GateRequest request{ id, attempt.request->rank,
                                   m_loop.now() + std::chrono::seconds(1), WHOLE_DEMAND };
        carryOut(target, m_hosts[target].gate->offer(m_loop.now(), request));
    }

    void carryOut(std::size_t target, const GateActions &actions)
    {
        for (const GateAction &action : actions) {
            if (action.verb == GateVerb::Start) {
                startRun(target, action.id);
            } else {
                m_totals.refusedAttempts += 1;
                answer(target, action.id, action.verdict);
            }
        }
        const TimePoint next = m_hosts[target].gate->nextTick();
        if (next != TimePoint::max()) {
            const auto delay = std::chrono::duration_cast<Duration>(next - m_loop.now());
            m_loop.callLater(std::max(delay, Duration::zero()), [this, target] {
                const GateActions due = m_hosts[target].gate->tick(m_loop.now());
                if (!due.empty()) {
                    carryOut(target, due);
                }
            });
        }
    }

    void startRun(std::size_t target, CallId id)
    {
        const TimePoint sentAt = m_loop.now();
        m_hosts[target].arrivals.push_back(sentAt);
        m_loop.callLater(SERVICE_TIME, [this, target, id, sentAt] { endRun(target, id, sentAt); });
    }

    void endRun(std::size_t target, CallId id, TimePoint sentAt)
    {
        Host &host = m_hosts[target];
        const TimePoint now = m_loop.now();
        ResponseNotice stated;
        if (host.limit) {
            stated.rateLimit = RequestRate(std::llround(*host.limit * 1000));
        }
        if (host.notices.onResponse(sentAt, now, stated)) {
            carryOut(target, host.gate->setRateLimit(now, host.notices.notice().rateLimit));
        }
        const GateActions next = host.gate->finish(now, id, CallResult::Success, SERVICE_TIME);
        answer(target, id, Verdict{ Outcome::Answered, Reason::None, Duration::zero() });
        carryOut(target, next);
    }

    void answer(std::size_t target, CallId id, const Verdict &verdict)
    {
        const Attempt attempt = m_attempts.at(id);
        m_attempts.erase(id);
        AttemptResult result;
        result.verdict = verdict;
        result.unspent = attempt.granted;
        result.load = m_hosts[target].gate->load(m_loop.now());
        result.hasLoad = true;
        result.status = verdict.outcome == Outcome::Answered ? 200 : 0;
        result.hasReachedUpstream = verdict.outcome == Outcome::Answered;
        result.notice = m_hosts[target].notices.forwardedNotice();
        m_loop.callLater(LINK_DELAY, [this, attempt, result] {
            perform(attempt.request,
                    attempt.request->call.onEnd(m_loop.now(), attempt.index, result));
        });
    }

    InlineEventLoop m_loop;
    SeededRandom m_random{ 5 };
    std::vector<Host> m_hosts;
    std::map<CallId, Attempt> m_attempts;
    std::uint64_t m_lastCall = 0;
    double m_importantShare = 0;
    Totals m_totals;
};

} // namespace ivyspar
