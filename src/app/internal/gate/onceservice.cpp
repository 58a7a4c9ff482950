#include "app/internal/gate/onceservice.h"

#include <algorithm>
#include <utility>

#include "protocol/internal/claimcodec.h"

namespace ivyspar {

namespace {

/// Reads of the log do not wait for new records; the calls that need them wait in this process.
constexpr Duration NO_WAIT{ 0 };

AppendFailure failureOf(const Error &error)
{
    const bool isProven =
        error.code == ErrorCode::Unavailable || error.code == ErrorCode::Throttled;
    return isProven ? AppendFailure::NotAppended : AppendFailure::Unknown;
}

ClaimPage toClaimPage(const LogPage &page)
{
    ClaimPage claims;
    claims.first = page.first;
    claims.end = page.end;
    for (const LogRecord &record : page.records) {
        ClaimRecord claim;
        claim.offset = record.offset;
        if (auto batch = decodeClaims(record.payload)) {
            claim.batch = std::move(*batch);
        }
        claims.records.push_back(std::move(claim));
    }
    return claims;
}

} // namespace

OnceService::OnceService(IEventLoop &loop, ILogService &log, Observers observers,
                         std::unique_ptr<IOnceCoordinator> coordinator,
                         std::unique_ptr<ITicketRegistry> tickets)
    : m_loop(loop)
    , m_log(log)
    , m_observers(observers)
    , m_coordinator(std::move(coordinator))
    , m_tickets(std::move(tickets))
    , m_keyTimer(loop, [this] { performKeys(m_coordinator->tick(m_loop.now())); })
    , m_ticketTimer(loop, [this] { performTickets(m_tickets->tick(m_loop.now())); })
{
}

void OnceService::request(CallId call, const CallMessage &message, TimePoint deadline)
{
    const RequestFingerprint fingerprint = makeFingerprint(message.request);
    if (!message.once->ticket.empty()) {
        m_ticketed.insert(call);
        performTickets(m_tickets->request(
            m_loop.now(), TicketRequest{ call, message.once->ticket, fingerprint, deadline }));
        return;
    }
    performKeys(m_coordinator->request(
        m_loop.now(), OnceRequest{ call, message.rule, message.once->key, fingerprint, deadline }));
}

bool OnceService::start(CallId call)
{
    return isTicketed(call) ? m_tickets->start(m_loop.now(), call)
                            : m_coordinator->start(m_loop.now(), call);
}

void OnceService::finished(CallId call, const Verdict &verdict, const HttpResponse &response)
{
    const TimePoint now = m_loop.now();
    const bool isTicket = m_ticketed.erase(call) > 0;
    if (isTicket) {
        performTickets(m_tickets->finished(now, call, verdict, response));
    } else {
        performKeys(m_coordinator->finished(now, call, verdict, response));
    }
}

void OnceService::notRun(CallId call)
{
    const TimePoint now = m_loop.now();
    const bool isTicket = m_ticketed.erase(call) > 0;
    if (isTicket) {
        performTickets(m_tickets->notRun(now, call));
    } else {
        performKeys(m_coordinator->notRun(now, call));
    }
}

void OnceService::cancel(CallId call)
{
    const TimePoint now = m_loop.now();
    if (isTicketed(call)) {
        performTickets(m_tickets->cancel(now, call));
    } else {
        performKeys(m_coordinator->cancel(now, call));
    }
}

std::string OnceService::issueTicket()
{
    return m_tickets->issue(m_loop.now());
}

void OnceService::setMembers(const std::vector<Member> &members)
{
    std::unordered_map<DaemonId, Incarnation> current;
    for (const Member &member : members) {
        current.emplace(member.id, member.incarnation);
    }
    for (const auto &[daemon, incarnation] : m_members) {
        if (current.count(daemon) == 0) {
            m_coordinator->setMember(daemon, std::nullopt);
        }
    }
    for (const auto &[daemon, incarnation] : current) {
        m_coordinator->setMember(daemon, incarnation);
    }
    m_members = std::move(current);
}

void OnceService::perform(OnceActions actions, WakeTimer &timer)
{
    if (actions.append) {
        m_loop.spawn([this, append = std::move(*actions.append)] { appendClaims(append); });
    }
    if (actions.read) {
        m_loop.spawn([this, read = *actions.read] { readClaims(read); });
    }
    timer.wakeAt(actions.wakeAt);
    for (const CallId call : actions.proceed) {
        m_listener->onOnceProceed(call);
    }
    for (const OnceReply &reply : actions.replies) {
        m_ticketed.erase(reply.call);
        m_listener->onOnceReply(reply);
    }
}

void OnceService::appendClaims(const ClaimAppend &append)
{
    const TimePoint startedAt = m_loop.now();
    const auto offset = m_log.append(StreamName(CLAIM_STREAM), encodeClaims(append.batch));
    const TimePoint now = m_loop.now();
    m_observers.metrics.observe(Timing::LogAppend,
                                std::chrono::duration_cast<Duration>(now - startedAt));
    m_observers.metrics.add(offset ? Counter::LogAppends : Counter::LogAppendFailures);
    performKeys(offset ? m_coordinator->appendDone(now, append.id, *offset)
                       : m_coordinator->appendFailed(now, append.id, failureOf(offset.error())));
}

void OnceService::readClaims(ClaimRead read)
{
    const auto page = m_log.read(StreamName(CLAIM_STREAM), read.from, read.maxRecords, NO_WAIT);
    m_observers.metrics.add(page ? Counter::LogReads : Counter::LogReadFailures);
    const TimePoint now = m_loop.now();
    performKeys(page ? m_coordinator->recordsRead(now, toClaimPage(*page))
                     : m_coordinator->readFailed(now));
}

} // namespace ivyspar
