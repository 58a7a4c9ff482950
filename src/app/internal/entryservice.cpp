#include "app/internal/entryservice.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "app/internal/verdictresponse.h"
#include "coordination/once/iticketoffice.h"
#include "protocol/headers.h"
#include "state/rank.h"
#include "transport/oneshot.h"

namespace ivyspar {

namespace {

/// Waiting ends by the call's own deadline; this only bounds a broken invariant.
constexpr Duration WAIT_MARGIN = std::chrono::seconds(10);

Verdict notRun(Reason reason)
{
    return Verdict{ Outcome::NotRun, reason, Duration::zero() };
}

/// A whole number in a header; `fallback` without the header. False on anything else.
bool readNumber(const HttpRequest &request, const char *name, std::uint64_t fallback,
                std::uint64_t &number)
{
    number = fallback;
    const std::string *text = findHeader(request.headers, name);
    if (!text) {
        return true;
    }
    const char *last = text->data() + text->size();
    const auto [end, error] = std::from_chars(text->data(), last, number);
    return error == std::errc() && end == last && !text->empty();
}

/// Splits `/service/path?query` into the service and what its upstream receives.
bool splitTarget(const std::string &target, std::string &service, std::string &rest)
{
    if (target.empty() || target.front() != '/') {
        return false;
    }
    const auto end = target.find_first_of("/?", 1);
    service = target.substr(1, end == std::string::npos ? std::string::npos : end - 1);
    rest = end == std::string::npos ? "/" : target.substr(end);
    if (rest.front() != '/') {
        rest.insert(rest.begin(), '/');
    }
    return !service.empty();
}

/// What only concerns ivyspar does not go to the upstream as the caller wrote it.
void removeOwnHeaders(std::vector<HttpHeader> &headers)
{
    for (const char *name : { headers::DEADLINE_MS, headers::ATTEMPT, headers::TICKET,
                              headers::CONTEXT, headers::OUTCOME, headers::REASON }) {
        removeHeader(headers, name);
    }
}

} // namespace

/// One request from its arrival to the end of its last attempt, which may come after its answer.
struct EntryService::Run : boost::intrusive_ref_counter<Run, boost::thread_unsafe_counter>
{
    Run(IEventLoop &loop, EntryPolicies policies, Incoming terms, EntryCallTerms callTerms)
        : incoming(std::move(terms))
        , call(policies, incoming.ledger->ledger, std::move(callTerms))
        , done(loop)
    {
    }

    Incoming incoming;
    EntryCall call;
    std::vector<StreamId> streams;
    OneShot<Verdict> done;
    HttpResponse response;
    Verdict verdict;
    TimePoint startedAt;
    Duration serviceTime{ 0 };
    TimerId timer;
    TimePoint timerAt = TimePoint::max();
};

EntryService::EntryService(IEventLoop &loop, EntryPolicies policies, ICallSender &sender,
                           IGateService &gates, Observers observers, EntryOptions options)
    : m_loop(loop)
    , m_policies(policies)
    , m_sender(sender)
    , m_gates(gates)
    , m_observers(observers)
    , m_options(options)
{
}

HttpResponse EntryService::handleCaller(IHttpExchange &exchange)
{
    if (m_isDraining) {
        return refuse(
            EarlyRefusal{ RootId(m_policies.random.next()), notRun(Reason::ShuttingDown) }, false);
    }
    return serve(exchange, false);
}

HttpResponse EntryService::handleUpstream(IHttpExchange &exchange)
{
    return serve(exchange, true);
}

HttpResponse EntryService::serve(IHttpExchange &exchange, bool isFromUpstream)
{
    if (m_requestCount >= m_options.maxRequests) {
        return refuse(EarlyRefusal{ RootId(m_policies.random.next()), notRun(Reason::QueueFull) },
                      isFromUpstream);
    }
    auto incoming = readRequest(exchange.request(), isFromUpstream);
    if (!incoming) {
        return refuse(incoming.error(), isFromUpstream);
    }
    ++m_requestCount;
    HttpResponse response = runRequest(exchange, std::move(*incoming));
    --m_requestCount;
    return response;
}

tl::expected<EntryService::Incoming, EntryService::EarlyRefusal>
EntryService::readRequest(const HttpRequest &request, bool isFromUpstream)
{
    auto incoming = readTarget(request);
    if (!incoming) {
        return incoming;
    }
    if (!readCallerTerms(request, *incoming)) {
        return Refusal(EarlyRefusal{ incoming->root, notRun(Reason::BadRequest) });
    }
    incoming->priority = incoming->rule.priority;
    if (isFromUpstream) {
        applyContext(request, *incoming);
    } else if (m_options.hasSharedBudget
               && incoming->callerAttempt > incoming->rule.callerAttempts) {
        // Past the bound the answer is final: without it a client that retries for ever would make
        // the number of attempts for one tap unbounded.
        return Refusal(EarlyRefusal{ incoming->root, notRun(Reason::CallerAttempts) });
    }
    if (!incoming->ledger) {
        incoming->ledger = new CallLedger(incoming->rule.attempts);
    }
    return incoming;
}

tl::expected<EntryService::Incoming, EntryService::EarlyRefusal>
EntryService::readTarget(const HttpRequest &request)
{
    Incoming incoming;
    const std::string *requestId = findHeader(request.headers, headers::REQUEST_ID);
    if (!requestId || !parseRootId(*requestId, incoming.root)) {
        incoming.root = RootId(m_policies.random.next());
    }
    if (!m_configuration) {
        return Refusal(EarlyRefusal{ incoming.root, notRun(Reason::NoConfiguration) });
    }
    std::string service;
    incoming.request = request;
    if (!splitTarget(request.target, service, incoming.request.target)) {
        return Refusal(EarlyRefusal{ incoming.root, notRun(Reason::BadRequest) });
    }
    incoming.service = ServiceName(service);
    const std::string path = incoming.request.target.substr(0, incoming.request.target.find('?'));
    const RuleSpec *rule = findRule(m_configuration->rules, incoming.service, request.method, path);
    if (!rule) {
        return Refusal(EarlyRefusal{ incoming.root, notRun(Reason::NoRule) });
    }
    incoming.rule = *rule;
    removeOwnHeaders(incoming.request.headers);
    return incoming;
}

Ret EntryService::readCallerTerms(const HttpRequest &request, Incoming &incoming)
{
    const auto waitMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(incoming.rule.wait).count();
    std::uint64_t deadlineMs = 0;
    std::uint64_t attempt = 0;
    if (!readNumber(request, headers::DEADLINE_MS, static_cast<std::uint64_t>(waitMs),
                    deadlineMs)) {
        return makeError(ErrorCode::InvalidArgument, "the deadline is not a number");
    }
    if (!readNumber(request, headers::ATTEMPT, 1, attempt) || attempt == 0
        || attempt > UINT32_MAX) {
        return makeError(ErrorCode::InvalidArgument, "the attempt is not a number from 1");
    }
    incoming.callerAttempt = static_cast<std::uint32_t>(attempt);
    const auto wait = std::min<std::uint64_t>(deadlineMs, static_cast<std::uint64_t>(waitMs));
    incoming.deadline = m_loop.now() + std::chrono::milliseconds(wait);

    if (incoming.rule.repetition != Repetition::Once) {
        return {};
    }
    const std::string *key = findHeader(request.headers, headers::IDEMPOTENCY_KEY);
    const std::string *ticket = findHeader(request.headers, headers::TICKET);
    if (key && (key->empty() || key->size() > m_options.maxKeyBytes)) {
        return makeError(ErrorCode::InvalidArgument, "the idempotency key is empty or too long");
    }
    if (key || ticket) {
        incoming.once = OnceTerms{ IdempotencyKey(key ? *key : std::string()),
                                   incoming.rule.keyLifetime, ticket ? *ticket : std::string() };
    }
    return {};
}

void EntryService::applyContext(const HttpRequest &request, Incoming &incoming)
{
    const std::string *token = findHeader(request.headers, headers::CONTEXT);
    const auto context = token ? m_gates.findContext(*token) : std::nullopt;
    if (!context) {
        // Nothing ties this call to a request's budget: one attempt, or a hop that drops the header
        // would start a fresh budget at each level and attempts would multiply with depth.
        incoming.isSingleAttempt = true;
        incoming.ledger = new CallLedger(AttemptCount(1));
        return;
    }
    incoming.root = context->root;
    incoming.priority = context->priority;
    incoming.depth = Depth(static_cast<std::uint8_t>(std::min(context->depth.value() + 1, 255)));
    incoming.deadline = std::min(incoming.deadline, context->deadline);
    if (m_options.hasSharedBudget) {
        incoming.ledger = context->ledger;
    }
}

HttpResponse EntryService::runRequest(IHttpExchange &exchange, Incoming incoming)
{
    EntryCallTerms terms;
    terms.rule = incoming.rule;
    terms.rank = makeRank(incoming.priority, incoming.depth, incoming.root);
    terms.deadline = incoming.deadline;
    terms.isSingleAttempt = incoming.isSingleAttempt;
    if (incoming.once && !incoming.once->ticket.empty()) {
        if (const auto owner = readTicketOwner(incoming.once->ticket)) {
            terms.pinned = owner->daemon;
        }
    }
    const RunPtr run = new Run(m_loop, m_policies, std::move(incoming), std::move(terms));

    run->startedAt = m_loop.now();
    exchange.onDisconnect([this, run] { perform(run, run->call.onCallerGone(m_loop.now())); });
    perform(run, run->call.start(m_loop.now()));
    const auto left = std::chrono::duration_cast<Duration>(run->incoming.deadline - m_loop.now());
    const auto verdict = run->done.wait(std::max(left, Duration::zero()) + WAIT_MARGIN);
    exchange.onDisconnect({});
    run->verdict = verdict.value_or(Verdict{ Outcome::Unknown, Reason::Timeout, Duration::zero() });
    recordEnd(*run);
    return compose(*run);
}

void EntryService::perform(const RunPtr &run, const EntryActions &actions)
{
    for (const EntryAction &action : actions) {
        switch (action.verb) {
        case EntryVerb::Send:
            sendAttempt(run, action);
            break;
        case EntryVerb::Cancel:
            m_observers.metrics.add(Counter::Cancels);
            m_sender.cancel(run->streams.at(action.attempt.value()));
            break;
        case EntryVerb::Finish:
            run->done.set(action.verdict);
            break;
        }
    }
    armTimer(run);
}

void EntryService::sendAttempt(const RunPtr &run, const EntryAction &action)
{
    const Incoming &incoming = run->incoming;
    CallMessage call;
    call.root = incoming.root;
    call.service = incoming.service;
    call.rule = incoming.rule.name;
    call.rank = makeRank(incoming.priority, incoming.depth, incoming.root);
    call.depth = incoming.depth;
    call.remaining = std::chrono::duration_cast<Duration>(incoming.deadline - m_loop.now());
    call.granted = action.granted;
    call.once = incoming.once;
    call.request = incoming.request;

    recordAttempt(*run, action);
    const std::size_t index = action.attempt.value();
    run->streams.resize(std::max(run->streams.size(), index + 1));
    const AttemptIndex attempt = action.attempt;
    run->streams[index] =
        m_sender.send(action.target, std::move(call), [this, run, attempt](AttemptAnswer answer) {
            onAnswer(run, attempt, std::move(answer));
        });
}

void EntryService::onAnswer(const RunPtr &run, AttemptIndex attempt, AttemptAnswer answer)
{
    AttemptEnd end;
    end.verdict = answer.message.verdict;
    end.unspent = answer.message.unspent;
    end.load = answer.message.load;
    end.hasLoad = answer.isFromDaemon;
    end.status = answer.message.response.status;
    end.holder = answer.message.holder;
    const bool isWanted = !run->call.isFinished();
    const EntryActions actions = run->call.onEnd(m_loop.now(), attempt, end);
    if (isWanted && end.verdict.outcome == Outcome::Answered) {
        run->response = std::move(answer.message.response);
        run->serviceTime = answer.message.serviceTime;
    }
    perform(run, actions);
}

void EntryService::recordAttempt(const Run &run, const EntryAction &action)
{
    const bool isFirst = action.attempt.value() == 0;
    const Counter counter = isFirst ? Counter::FirstAttempts
        : action.isHedge            ? Counter::HedgeAttempts
                                    : Counter::RetryAttempts;
    m_observers.metrics.add(counter);
    if (!m_observers.decisions.isEnabled()) {
        return;
    }
    Decision decision;
    decision.kind = isFirst ? DecisionKind::Route
        : action.isHedge    ? DecisionKind::Hedge
                            : DecisionKind::Retry;
    decision.root = run.incoming.root;
    decision.service = run.incoming.service;
    decision.rank = makeRank(run.incoming.priority, run.incoming.depth, run.incoming.root);
    decision.attempt = action.attempt.value() + 1;
    for (const RouteCandidate &candidate : action.candidates) {
        decision.candidates.push_back(DecisionCandidate{ candidate.daemon, candidate.score });
    }
    decision.choice = action.target.value();
    decision.reason = action.why;
    m_observers.decisions.write(std::move(decision));
}

void EntryService::recordEnd(const Run &run)
{
    const auto took = std::chrono::duration_cast<Duration>(m_loop.now() - run.startedAt);
    if (run.incoming.depth == Depth(0)) {
        m_observers.metrics.countRequest(run.verdict, run.incoming.priority);
        m_observers.metrics.observe(Timing::Request, took);
    }
    if (run.verdict.outcome == Outcome::Answered) {
        m_observers.metrics.observe(Timing::AddedByDaemons,
                                    std::max(took - run.serviceTime, Duration::zero()));
        return;
    }
    if (!m_observers.decisions.isEnabled()) {
        return;
    }
    Decision decision;
    decision.kind = DecisionKind::Refuse;
    decision.root = run.incoming.root;
    decision.service = run.incoming.service;
    decision.rank = makeRank(run.incoming.priority, run.incoming.depth, run.incoming.root);
    decision.attempt = run.call.attempts();
    decision.choice = toText(run.verdict.outcome);
    decision.reason = toText(run.verdict.reason);
    m_observers.decisions.write(std::move(decision));
}

void EntryService::armTimer(const RunPtr &run)
{
    const TimePoint next = run->call.nextTimer();
    if (next == run->timerAt) {
        return;
    }
    m_loop.cancelTimer(run->timer);
    run->timerAt = next;
    if (next == TimePoint::max()) {
        return;
    }
    const auto delay =
        std::max(std::chrono::duration_cast<Duration>(next - m_loop.now()), Duration::zero());
    run->timer = m_loop.callLater(delay, [this, run] {
        run->timerAt = TimePoint::max();
        perform(run, run->call.onTimer(m_loop.now()));
    });
}

HttpResponse EntryService::refuse(const EarlyRefusal &refusal, bool isFromUpstream)
{
    if (!isFromUpstream) {
        m_observers.metrics.countRequest(refusal.verdict, Priority());
    }
    if (m_observers.decisions.isEnabled()) {
        Decision decision;
        decision.kind = DecisionKind::Refuse;
        decision.root = refusal.root;
        decision.choice = toText(refusal.verdict.outcome);
        decision.reason = toText(refusal.verdict.reason);
        m_observers.decisions.write(std::move(decision));
    }
    return makeVerdictResponse(refusal.root, refusal.verdict, 0);
}

HttpResponse EntryService::compose(const Run &run) const
{
    if (run.verdict.outcome != Outcome::Answered) {
        return makeVerdictResponse(run.incoming.root, run.verdict, run.call.attempts());
    }
    HttpResponse response = run.response;
    response.headers.push_back({ headers::OUTCOME, toText(Outcome::Answered) });
    response.headers.push_back({ headers::REQUEST_ID, toText(run.incoming.root) });
    response.headers.push_back({ headers::ATTEMPTS, std::to_string(run.call.attempts()) });
    return response;
}

} // namespace ivyspar
