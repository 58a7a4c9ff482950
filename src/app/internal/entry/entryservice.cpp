#include "app/internal/entry/entryservice.h"

#include <algorithm>
#include <utility>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "coordination/once/iticketregistry.h"
#include "coordination/retries/retryafter.h"
#include "state/fingerprint.h"
#include "state/rank.h"
#include "transport/oneshot.h"

namespace ivyspar {

namespace {

/// Waiting ends by the call's own deadline; this only bounds a broken invariant.
constexpr Duration WAIT_MARGIN = std::chrono::seconds(10);

/// The server answered, and not with an error: all its calls were made.
bool isWhole(const Verdict &verdict, const HttpResponse &response)
{
    return verdict.outcome == Outcome::Answered && !isServerError(response.status);
}

Verdict notRun(Reason reason)
{
    return Verdict{ Outcome::NotRun, reason, Duration::zero() };
}

} // namespace

/// One request from its arrival to the end of its last attempt, which may come after its answer.
struct EntryService::Run : boost::intrusive_ref_counter<Run, boost::thread_unsafe_counter>
{
    Run(EntryService &service, Incoming terms, EntryCallOptions callTerms)
        : incoming(std::move(terms))
        , call(service.m_policies, incoming.ledger->ledger, watch(service, std::move(callTerms)))
        , done(service.m_loop)
    {
    }

    EntryCallOptions watch(const EntryService &service, EntryCallOptions terms)
    {
        terms.standing = [this, &service] { return service.standingOf(incoming); };
        terms.fingerprint = [this, &service] { return service.fingerprintOf(incoming); };
        return terms;
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

EntryService::EntryService(IEventLoop &loop, const IRequestDialect &dialect, EntryPolicies policies,
                           ICallSender &sender, IGateService &gates, IQuarantine &quarantine,
                           IAccounts &accounts, Observers observers, EntryOptions options)
    : m_loop(loop)
    , m_dialect(dialect)
    , m_policies(policies)
    , m_split(makeWeightedSplit())
    , m_admission(makeRootAdmission(options.admission))
    , m_sender(sender)
    , m_gates(gates)
    , m_quarantine(quarantine)
    , m_accounts(accounts)
    , m_observers(observers)
    , m_recorder(observers)
    , m_options(options)
    , m_lag(loop)
    , m_guard(options.mindsLag)
{
}

HttpResponse EntryService::handleCaller(IHttpExchange &exchange)
{
    return serve(exchange, false);
}

HttpResponse EntryService::handleUpstream(IHttpExchange &exchange)
{
    return serve(exchange, true);
}

HttpResponse EntryService::serve(IHttpExchange &exchange, bool isFromUpstream)
{
    if (m_requestCount >= m_options.maxRequests) {
        return refuse(reject(EarlyRefusal{ RootId(), notRun(Reason::QueueFull) }), isFromUpstream);
    }
    auto incoming = readRequest(exchange, isFromUpstream);
    if (!incoming) {
        return refuse(incoming.error(), isFromUpstream);
    }
    const std::size_t callers = isCallers(*incoming, isFromUpstream) ? 1 : 0;
    ++m_requestCount;
    m_callerCount += callers;
    HttpResponse response = runRequest(exchange, std::move(*incoming));
    --m_requestCount;
    m_callerCount -= callers;
    return response;
}

tl::expected<EntryService::Incoming, Rejection> EntryService::readRequest(IHttpExchange &exchange,
                                                                          bool isFromUpstream)
{
    auto read = m_dialect.read(exchange.request(), m_origin, m_configuration.get());
    if (!read) {
        return Refusal(reject(read.error()));
    }
    const std::string context = read->context;
    const std::optional<AccountKey> key = read->key;
    const Duration lag = m_options.mindsLag ? m_lag.current() : Duration::zero();
    m_observers.metrics.observe(Timing::ReadLag, lag);
    Incoming incoming = makeIncoming(std::move(*read));
    incoming.deadline -= lag;
    if (isFromUpstream) {
        applyContext(context, incoming);
    } else if (m_options.infersParents && !key) {
        // Callers show a key where one is needed; calls of servers never have one.
        const bool isServers = m_accounts.needsKey(incoming.rule);
        inferContext(exchange.tally(), isServers ? RequestSender::Server : RequestSender::Unknown,
                     incoming);
    } else if (m_options.hasSharedBudget && incoming.callerAttempt > incoming.rule.callerAttempts) {
        // Past the bound the answer is final: without it a client that retries for ever would make
        // the number of attempts for one tap unbounded.
        return Refusal(reject(EarlyRefusal{ incoming.root, notRun(Reason::CallerAttempts) }));
    }
    // Only now it is known whose request it is. Calls of the server beside go on: refused, they
    // would fail the requests that it was given before.
    if (m_isDraining && isCallers(incoming, isFromUpstream)) {
        return Refusal(reject(EarlyRefusal{ incoming.root, notRun(Reason::ShuttingDown) }));
    }
    const bool isOfCaller = isCallers(incoming, isFromUpstream);
    if (isOfCaller) {
        if (const auto verdict = identify(key, incoming)) {
            return Refusal(rejectAccount(incoming, *verdict));
        }
    }
    const Assessment standing = standingOf(incoming);
    if (standing.suspicion == Suspicion::Held || standing.suspicion == Suspicion::Quarantined) {
        return Refusal(rejectSuspect(incoming, standing));
    }
    if (isOfCaller && !m_guard.admits(lag, incoming.rule.priority, m_highest)) {
        return Refusal(overrunOf(incoming, lag));
    }
    if (!incoming.ledger) {
        incoming.ledger = new CallLedger(incoming.rule.attempts);
    }
    if (isOfCaller) {
        if (const auto verdict = takeUnit(exchange, incoming)) {
            return Refusal(rejectAccount(incoming, *verdict));
        }
    }
    if (!letIn(incoming)) {
        giveUnitBack(incoming);
        return Refusal(rejectionOf(incoming));
    }
    return incoming;
}

bool EntryService::isCallers(const Incoming &incoming, bool isFromUpstream)
{
    return !isFromUpstream && incoming.depth == Depth(0);
}

EntryService::Incoming EntryService::makeIncoming(CallerRequest request)
{
    Incoming incoming;
    incoming.root = request.root == RootId() ? RootId(m_policies.random.next()) : request.root;
    incoming.own = incoming.root;
    incoming.rule = *request.rule;
    if (!incoming.rule.split.empty()) {
        incoming.rule.service = m_split->choose(incoming.rule, m_policies.random);
    }
    incoming.service = incoming.rule.service;
    incoming.priority = m_configuration->priorities.of(std::nullopt, incoming.rule.priority);
    incoming.deadline = m_loop.now() + request.wait;
    incoming.callerDeadline = m_loop.now() + request.callerWait;
    incoming.callerAttempt = request.callerAttempt;
    incoming.once = std::move(request.once);
    incoming.request = std::move(request.forwarded);
    return incoming;
}

void EntryService::setConfiguration(ConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
    m_split->reset();
    m_highest = Priority();
    for (const RuleSpec &rule : m_configuration->rules.rules) {
        m_highest = std::max(m_highest, rule.priority);
    }
}

void EntryService::applyContext(const std::string &token, Incoming &incoming)
{
    const auto context = token.empty() ? std::nullopt : m_gates.findContext(token);
    if (!context) {
        // Nothing ties this call to a request's budget: one attempt, or a hop that drops the header
        // would start a fresh budget at each level and attempts would multiply with depth.
        incoming.isSingleAttempt = true;
        incoming.ledger = new CallLedger(AttemptCount(1));
        return;
    }
    inherit(*context, incoming);
    if (m_options.hasSharedBudget) {
        incoming.ledger = context->ledger;
    }
}

void EntryService::inferContext(ConnectionTally &tally, RequestSender maker, Incoming &incoming)
{
    const InferredContext inferred =
        m_gates.inferContext(tally, incoming.rule.name, incoming.callerDeadline, maker);
    if (!inferred.isInner) {
        return;
    }
    incoming.depth = Depth(1);
    if (inferred.parent) {
        inherit(*inferred.parent, incoming);
    }
}

void EntryService::inherit(const CallContext &context, Incoming &incoming)
{
    incoming.root = context.root;
    incoming.priority = context.priority;
    incoming.depth = Depth(static_cast<std::uint8_t>(std::min(context.depth.value() + 1, 255)));
    incoming.deadline = std::min(incoming.deadline, context.deadline);
    incoming.tree = context.tree;
    incoming.letIn = context.letIn == DemandShare() ? WHOLE_DEMAND : context.letIn;
    incoming.isRepeat = context.isRepeat;
    incoming.account = context.account;
}

std::optional<Verdict> EntryService::identify(const std::optional<AccountKey> &key,
                                              Incoming &incoming)
{
    const auto account = m_accounts.identify(incoming.rule, key);
    if (!account) {
        return account.error();
    }
    if (*account) {
        incoming.account = (*account)->name;
        incoming.priority =
            m_configuration->priorities.of((*account)->priority, incoming.rule.priority);
    }
    return std::nullopt;
}

/// Before the load is looked at: what lies beyond an account's limit is no demand that others would
/// have to make room for.
std::optional<Verdict> EntryService::takeUnit(IHttpExchange &exchange, Incoming &incoming)
{
    if (incoming.account.value().empty()) {
        return std::nullopt;
    }
    bool isGone = false;
    exchange.onDisconnect([&isGone] { isGone = true; });
    std::optional<Verdict> verdict = m_accounts.take(incoming.account);
    exchange.onDisconnect({});
    incoming.hasUnit = !verdict;
    if (isGone) {
        giveUnitBack(incoming);
        return notRun(Reason::Cancelled);
    }
    return verdict;
}

void EntryService::giveUnitBack(Incoming &incoming)
{
    if (std::exchange(incoming.hasUnit, false)) {
        m_accounts.refund(incoming.account);
    }
}

bool EntryService::letIn(Incoming &incoming)
{
    if (!m_options.hasRootAdmission || incoming.depth > Depth(0)) {
        return true;
    }
    const TimePoint now = m_loop.now();
    const RootTarget target = targetOf(incoming);
    if (!m_admission->admit(now, target)) {
        return false;
    }
    incoming.isLetIn = true;
    incoming.letIn = m_admission->admittedShare(now, target);
    return true;
}

RootTarget EntryService::targetOf(const Incoming &incoming)
{
    return RootTarget{ incoming.rule.name, incoming.rule.service, incoming.priority };
}

Rejection EntryService::reject(const EarlyRefusal &refusal)
{
    Rejection rejection;
    rejection.refusal = refusal;
    return rejection;
}

Duration EntryService::returnOf(const Incoming &incoming)
{
    const Duration wanted =
        m_policies.retries.retryAfter(m_loop.now(), incoming.rule.service, m_policies.random);
    return boundRetryAfter(wanted, incoming.rule.targetLatency, m_policies.random);
}

Rejection EntryService::rejectionOf(const Incoming &incoming)
{
    const TimePoint now = m_loop.now();
    const ServiceName &service = incoming.rule.service;
    const Verdict verdict{ Outcome::NotRun, Reason::BelowFloor, returnOf(incoming) };
    Rejection rejection = reject(EarlyRefusal{ incoming.root, verdict });
    rejection.service = service;
    rejection.rule = incoming.rule.name;
    const AdmissionBasis basis = m_admission->basis(now, targetOf(incoming));
    rejection.choice = basis.bottleneck.value();
    if (basis.isKnown) {
        rejection.inputs = { { "share", basis.share },
                             { "odds", basis.lossAdmittedShare },
                             { "load", basis.load },
                             { "load_age_ms", toMillis(basis.loadAge) } };
    } else {
        rejection.inputs = { { "window", basis.window },
                             { "under_way", static_cast<double>(basis.inFlight) } };
    }
    return rejection;
}

/// Nothing is hashed while no request is suspected.
Assessment EntryService::standingOf(Incoming &incoming) const
{
    return m_quarantine.hasSuspects() ? m_quarantine.assess(fingerprintOf(incoming)) : Assessment();
}

const Fingerprint &EntryService::fingerprintOf(Incoming &incoming) const
{
    if (incoming.fingerprint.value().empty()) {
        incoming.fingerprint = ivyspar::fingerprintOf(incoming.account, incoming.request);
    }
    return incoming.fingerprint;
}

/// One in quarantine is not told when to come back, as that would not help.
Rejection EntryService::rejectSuspect(const Incoming &incoming, const Assessment &standing) const
{
    const bool isFinal = standing.suspicion == Suspicion::Quarantined;
    const Verdict verdict{ Outcome::NotRun, isFinal ? Reason::Quarantined : Reason::Suspected,
                           standing.retryAfter };
    Rejection rejection = reject(EarlyRefusal{ incoming.root, verdict });
    rejection.service = incoming.rule.service;
    rejection.rule = incoming.rule.name;
    rejection.fingerprint = incoming.fingerprint;
    rejection.inputs = { { "crashes", static_cast<double>(standing.crashes) } };
    return rejection;
}

Rejection EntryService::rejectAccount(const Incoming &incoming, const Verdict &verdict)
{
    Rejection rejection = reject(EarlyRefusal{ incoming.root, verdict });
    rejection.service = incoming.rule.service;
    rejection.rule = incoming.rule.name;
    rejection.account = incoming.account;
    return rejection;
}

Rejection EntryService::overrunOf(const Incoming &incoming, Duration lag)
{
    const ServiceName &service = incoming.rule.service;
    const Verdict verdict{ Outcome::NotRun, Reason::QueueFull, returnOf(incoming) };
    Rejection rejection = reject(EarlyRefusal{ incoming.root, verdict });
    rejection.service = service;
    rejection.rule = incoming.rule.name;
    rejection.inputs = { { "lag_ms", toMillis(lag) } };
    return rejection;
}

/// The cost goes up to the call during which this one was made, and at last to the entry of the
/// caller's request, which learns from it.
void EntryService::bookUsage(const Run &run, const AttemptAnswer &answer)
{
    const TreeUsage &usage = answer.message.usage;
    if (run.incoming.tree) {
        m_gates.book(*run.incoming.tree, usage);
        return;
    }
    if (m_options.hasRootAdmission && run.incoming.depth == Depth(0)) {
        m_admission->onAttemptEnd(m_loop.now(), targetOf(run.incoming), usage,
                                  isWhole(answer.message.verdict, answer.message.response));
    }
}

void EntryService::tellEnd(const Run &run)
{
    if (!run.incoming.isLetIn) {
        return;
    }
    m_admission->onRequestEnd(targetOf(run.incoming),
                              rootResultOf(run.verdict, run.response.status));
}

Rank EntryService::rankOf(const Incoming &incoming) const
{
    const bool isCommitted = m_options.hasRootAdmission && incoming.depth > Depth(0);
    return isCommitted ? makeCommittedRank(incoming.priority, incoming.depth, incoming.root)
                       : makeRank(incoming.priority, incoming.depth, incoming.root);
}

HttpResponse EntryService::runRequest(IHttpExchange &exchange, Incoming incoming)
{
    EntryCallOptions terms;
    terms.rule = incoming.rule;
    terms.rank = rankOf(incoming);
    terms.deadline = incoming.deadline;
    terms.isSingleAttempt = incoming.isSingleAttempt;
    if (incoming.once && !incoming.once->ticket.empty()) {
        if (const auto owner = readTicketOwner(incoming.once->ticket)) {
            terms.pinned = owner->daemon;
        }
    }
    const RunPtr run = new Run(*this, std::move(incoming), std::move(terms));

    run->startedAt = m_loop.now();
    exchange.onDisconnect([this, run] { perform(run, run->call.onCallerGone(m_loop.now())); });
    perform(run, run->call.start(m_loop.now()));
    const auto left = std::chrono::duration_cast<Duration>(run->incoming.deadline - m_loop.now());
    const auto verdict = run->done.wait(std::max(left, Duration::zero()) + WAIT_MARGIN);
    exchange.onDisconnect({});
    if (m_options.infersParents && run->incoming.depth > Depth(0)) {
        m_gates.noteInnerAnswer(run->incoming.rule.name);
    }
    run->verdict = verdict.value_or(Verdict{ Outcome::Unknown, Reason::Timeout, Duration::zero() });
    if (run->verdict.outcome == Outcome::NotRun) {
        giveUnitBack(run->incoming);
    }
    tellEnd(*run);
    m_recorder.recordEnd(factsOf(run->incoming), endOf(*run));
    return compose(*run);
}

void EntryService::perform(const RunPtr &run, const EntryActions &actions)
{
    for (const EntryAction &action : actions) {
        switch (action.type) {
        case EntryActionType::Send:
            sendAttempt(run, action);
            break;
        case EntryActionType::Cancel:
            m_recorder.recordCancel(factsOf(run->incoming), action);
            m_sender.cancel(run->streams.at(action.attempt.value()));
            break;
        case EntryActionType::Finish:
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
    call.rank = rankOf(incoming);
    call.depth = incoming.depth;
    call.remaining = std::chrono::duration_cast<Duration>(incoming.deadline - m_loop.now());
    const bool isFirst = action.attempt == AttemptIndex(0);
    call.letIn = isFirst ? incoming.letIn : DemandShare();
    call.isRepeat = incoming.isRepeat || !isFirst;
    call.granted = action.granted;
    call.once = incoming.once;
    call.request = incoming.request;
    call.fingerprint = incoming.fingerprint;
    call.account = incoming.account;

    m_recorder.recordAttempt(factsOf(incoming), action, call.remaining);
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
    AttemptResult end;
    end.verdict = answer.message.verdict;
    end.unspent = answer.message.unspent;
    end.load = answer.message.load;
    end.hasLoad = answer.isFromDaemon;
    end.status = answer.message.response.status;
    end.holder = answer.message.holder;
    end.hasReachedUpstream =
        end.verdict.outcome != Outcome::NotRun || answer.message.serviceTime > Duration::zero();
    bookUsage(*run, answer);
    const bool isWanted = !run->call.isFinished();
    const EntryActions actions = run->call.onEnd(m_loop.now(), attempt, end);
    if (isWanted && end.verdict.outcome == Outcome::Answered) {
        run->response = std::move(answer.message.response);
        run->serviceTime = answer.message.serviceTime;
    }
    perform(run, actions);
}

RequestFacts EntryService::factsOf(const Incoming &incoming) const
{
    return RequestFacts{ incoming.root,    incoming.own,      incoming.service, incoming.rule.name,
                         rankOf(incoming), incoming.priority, incoming.depth };
}

RequestEnd EntryService::endOf(const Run &run) const
{
    RequestEnd end;
    end.verdict = run.verdict;
    end.status = run.response.status;
    end.attempts = run.call.attempts();
    end.took = std::chrono::duration_cast<Duration>(m_loop.now() - run.startedAt);
    end.served = run.serviceTime;
    return end;
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

HttpResponse EntryService::refuse(Rejection rejection, bool isFromUpstream)
{
    EarlyRefusal &refusal = rejection.refusal;
    if (refusal.root == RootId()) {
        refusal.root = RootId(m_policies.random.next());
    }
    if (!isFromUpstream) {
        m_observers.metrics.countRequest(refusal.verdict, Priority());
    }
    m_recorder.recordRejection(rejection);
    return m_dialect.makeRefusal(refusal.root, refusal.verdict, 0);
}

HttpResponse EntryService::compose(const Run &run) const
{
    if (run.verdict.outcome != Outcome::Answered) {
        return m_dialect.makeRefusal(run.incoming.root, run.verdict, run.call.attempts());
    }
    HttpResponse response = run.response;
    m_dialect.completeAnswer(run.incoming.root, run.call.attempts(), response);
    return response;
}

} // namespace ivyspar
