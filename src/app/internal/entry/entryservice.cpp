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

/// The wait for the result ends by the call's own deadline; this margin only bounds it if an
/// invariant is broken.
constexpr Duration WAIT_MARGIN = std::chrono::seconds(10);

/// The server answered without an error, so it has made all its inner calls.
bool isSuccess(const Verdict &verdict, const HttpResponse &response)
{
    return verdict.outcome == Outcome::Answered && !isServerError(response.status);
}

/// Counted until its scope ends, also by an exception.
class CountedRequest
{
public:
    CountedRequest(std::size_t &count, std::size_t amount)
        : m_count(count)
        , m_amount(amount)
    {
        m_count += m_amount;
    }
    ~CountedRequest() { m_count -= m_amount; }
    CountedRequest(const CountedRequest &) = delete;
    CountedRequest &operator=(const CountedRequest &) = delete;

private:
    std::size_t &m_count;
    std::size_t m_amount;
};

Verdict notRun(Reason reason)
{
    return Verdict{ Outcome::NotRun, reason, Duration::zero() };
}

} // namespace

/// A request from its arrival to the end of its last attempt, which may come after its answer.
struct EntryService::ActiveRequest
    : boost::intrusive_ref_counter<ActiveRequest, boost::thread_unsafe_counter>,
      UnansweredRequest
{
    ActiveRequest(EntryService &service, Incoming request, EntryCallOptions options)
        : service(service)
        , incoming(std::move(request))
        , call(service.m_policies, incoming.budget->budget,
               withSuspectChecks(service, std::move(options)))
        , done(service.m_loop)
    {
    }

    EntryCallOptions withSuspectChecks(const EntryService &service, EntryCallOptions options)
    {
        options.assess = [this, &service] { return service.assess(incoming); };
        options.fingerprint = [this, &service] { return service.fingerprintOf(incoming); };
        return options;
    }

    void endForStop() override
    {
        service.perform(ActiveRequestPtr(this), call.onStop(service.m_loop.now()));
    }

    EntryService &service;
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
    , m_guard(options.compensatesLoopLag)
{
}

bool EntryService::isIdempotent(const HttpRequest &request) const
{
    const RuleSpec *rule = findRule(request);
    return rule && rule->repetition == Repetition::Idempotent;
}

bool EntryService::hasRule(const HttpRequest &request) const
{
    return findRule(request) != nullptr;
}

const RuleSpec *EntryService::findRule(const HttpRequest &request) const
{
    return m_configuration ? m_dialect.findRule(request, *m_configuration) : nullptr;
}

void EntryService::endRequests()
{
    m_hasEndedRequests = true;
    for (UnansweredRequest &request : m_unanswered) {
        request.endForStop();
    }
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
    const std::size_t callers = isFromCaller(*incoming, isFromUpstream) ? 1 : 0;
    exchange.onUndelivered([this, root = incoming->root](DeliveryFailure failure) {
        m_recorder.recordUndelivered(root, failure);
    });
    const CountedRequest request(m_requestCount, 1);
    const CountedRequest caller(m_callerCount, callers);
    return runRequest(exchange, std::move(*incoming));
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
    const Duration lag = m_options.compensatesLoopLag ? m_lag.current() : Duration::zero();
    m_observers.metrics.observe(Timing::ReadLag, lag);
    Incoming incoming = makeIncoming(std::move(*read));
    incoming.deadline -= lag + exchange.waited();
    incoming.callerDeadline -= exchange.waited();
    if (incoming.objective) {
        *incoming.objective -= lag + exchange.waited();
    }
    // Where a key is required, callers send one; calls of servers never have one.
    const bool isFromServer = isFromUpstream || (!key && m_accounts.needsKey(incoming.rule));
    if (isFromUpstream) {
        applyContext(context, incoming);
    } else if (m_options.infersParents && !key) {
        inferContext(exchange.tally(),
                     isFromServer ? RequestSender::Server : RequestSender::Unknown, incoming);
    } else if (m_options.hasSharedBudget && incoming.callerAttempt > incoming.rule.callerAttempts) {
        // Beyond this number the refusal is final: a client that retries forever would otherwise
        // make the number of attempts for one user action unbounded.
        return Refusal(reject(EarlyRefusal{ incoming.root, notRun(Reason::CallerAttempts) }));
    }
    // Only now is it known whether a caller sent the request. Calls of the local server are still
    // accepted while draining: refusing them would fail the requests that it is working on.
    const bool isCallerRequest = isFromCaller(incoming, isFromUpstream);
    if (m_isDraining && (isCallerRequest || !mayStartWhileDraining(incoming, isFromServer))) {
        return Refusal(reject(EarlyRefusal{ incoming.root, notRun(Reason::ShuttingDown) }));
    }
    if (isCallerRequest) {
        if (const auto verdict = identify(key, incoming)) {
            return Refusal(rejectAccount(incoming, *verdict));
        }
    }
    const Assessment assessment = assess(incoming);
    if (assessment.suspicion == Suspicion::Held || assessment.suspicion == Suspicion::Quarantined) {
        return Refusal(rejectSuspect(incoming, assessment));
    }
    if (isCallerRequest && !m_guard.admits(lag, incoming.rule.priority, m_highestPriority)) {
        return Refusal(rejectOverload(incoming, lag));
    }
    if (!incoming.budget) {
        incoming.budget = new CallBudget(incoming.rule.attempts);
    }
    if (isCallerRequest) {
        if (const auto verdict = takeAccountToken(exchange, incoming)) {
            return Refusal(rejectAccount(incoming, *verdict));
        }
    }
    if (!admit(incoming)) {
        refundAccountToken(incoming);
        return Refusal(rejectBelowFloor(incoming));
    }
    return incoming;
}

bool EntryService::isFromCaller(const Incoming &incoming, bool isFromUpstream)
{
    return !isFromUpstream && incoming.depth == Depth(0);
}

EntryService::Incoming EntryService::makeIncoming(CallerRequest request)
{
    Incoming incoming;
    incoming.root = request.root == RootId() ? RootId(m_policies.random.next()) : request.root;
    incoming.ownId = incoming.root;
    incoming.rule = *request.rule;
    if (!incoming.rule.split.empty()) {
        incoming.rule.service = m_split->choose(incoming.rule, m_policies.random);
    }
    incoming.service = incoming.rule.service;
    incoming.priority = m_configuration->priorities.of(std::nullopt, incoming.rule.priority);
    incoming.deadline = m_loop.now() + request.wait;
    if (incoming.rule.targetLatency > Duration::zero()) {
        incoming.objective = m_loop.now() + std::min(incoming.rule.targetLatency, request.wait);
    }
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
    m_highestPriority = Priority();
    for (const RuleSpec &rule : m_configuration->rules.rules) {
        m_highestPriority = std::max(m_highestPriority, rule.priority);
    }
}

void EntryService::applyContext(const std::string &token, Incoming &incoming)
{
    const auto context = token.empty() ? std::nullopt : m_gates.findContext(token);
    if (!context) {
        // Without context the call has no request's budget to share. It gets one attempt: if a hop
        // that drops the header started a new budget, attempts would multiply with depth.
        incoming.isSingleAttempt = true;
        incoming.budget = new CallBudget(AttemptCount(1));
        return;
    }
    inherit(*context, incoming);
    if (m_options.hasSharedBudget) {
        incoming.budget = context->budget;
    }
}

void EntryService::inferContext(ConnectionTally &tally, RequestSender sender, Incoming &incoming)
{
    const InferredContext inferred =
        m_gates.inferContext(tally, incoming.rule.name, incoming.callerDeadline, sender);
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
    incoming.objective = innerObjective(context, incoming.rule.name);
    incoming.tree = context.tree;
    incoming.admittedShare =
        context.admittedShare == DemandShare() ? WHOLE_DEMAND : context.admittedShare;
    incoming.isRepeat = context.isRepeat;
    incoming.account = context.account;
}

std::optional<TimePoint> EntryService::innerObjective(const CallContext &parent,
                                                      const RuleName &rule) const
{
    if (!parent.objective) {
        return std::nullopt;
    }
    const Duration own = m_innerTimes.of(rule).value_or(Duration::zero());
    const auto above =
        std::chrono::duration_cast<Duration>(parent.expectedEnd - (m_loop.now() + own));
    return *parent.objective - std::max(above, Duration::zero());
}

void EntryService::startDraining(TimePoint end)
{
    m_isDraining = true;
    m_endsAt = end;
}

/// A request that was taken for a call of the local server, but that none of its calls explains,
/// may come from a caller. A call that usually lasts beyond the end would be cut off there and
/// lost, although it may have run.
bool EntryService::mayStartWhileDraining(const Incoming &incoming, bool isFromServer) const
{
    if (!isFromServer && !incoming.tree) {
        return false;
    }
    const std::optional<Duration> usual = m_innerTimes.of(incoming.rule.name);
    return incoming.deadline <= m_endsAt || !usual || m_loop.now() + *usual <= m_endsAt;
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

/// Called before root admission, as requests beyond an account's limit must not count as demand
/// that displaces other requests.
std::optional<Verdict> EntryService::takeAccountToken(IHttpExchange &exchange, Incoming &incoming)
{
    if (incoming.account.value().empty()) {
        return std::nullopt;
    }
    bool isDisconnected = false;
    exchange.onDisconnect([&isDisconnected] { isDisconnected = true; });
    std::optional<Verdict> verdict = m_accounts.take(incoming.account);
    exchange.onDisconnect({});
    incoming.holdsAccountToken = !verdict;
    if (isDisconnected) {
        refundAccountToken(incoming);
        return notRun(Reason::Cancelled);
    }
    return verdict;
}

void EntryService::refundAccountToken(Incoming &incoming)
{
    if (std::exchange(incoming.holdsAccountToken, false)) {
        m_accounts.refund(incoming.account);
    }
}

bool EntryService::admit(Incoming &incoming)
{
    if (!m_options.hasRootAdmission || incoming.depth > Depth(0)) {
        return true;
    }
    const TimePoint now = m_loop.now();
    const RootTarget target = claimingTargetOf(incoming);
    if (!m_admission->admit(now, target)) {
        return false;
    }
    incoming.isAdmitted = true;
    incoming.admittedShare = m_admission->admittedShare(now, target);
    return true;
}

RootTarget EntryService::targetOf(const Incoming &incoming)
{
    RootTarget target;
    target.rule = incoming.rule.name;
    target.service = incoming.rule.service;
    target.priority = incoming.priority;
    return target;
}

RootTarget EntryService::claimingTargetOf(const Incoming &incoming) const
{
    RootTarget target = targetOf(incoming);
    target.claim = m_accounts.claimOf(incoming.account);
    return target;
}

std::vector<AccountShareStatus> EntryService::accountShares() const
{
    constexpr std::size_t MAX_LISTED = 10;
    return m_admission->accountShares(m_loop.now(), MAX_LISTED);
}

Rejection EntryService::reject(const EarlyRefusal &refusal)
{
    Rejection rejection;
    rejection.refusal = refusal;
    return rejection;
}

Duration EntryService::retryAfterOf(const Incoming &incoming)
{
    const Duration delay =
        m_policies.retries.retryAfter(m_loop.now(), incoming.rule.service, m_policies.random);
    return boundRetryAfter(delay, incoming.rule.targetLatency, m_policies.random);
}

Rejection EntryService::rejectBelowFloor(const Incoming &incoming)
{
    const TimePoint now = m_loop.now();
    const ServiceName &service = incoming.rule.service;
    const Verdict verdict{ Outcome::NotRun, Reason::BelowFloor, retryAfterOf(incoming) };
    Rejection rejection = reject(EarlyRefusal{ incoming.root, verdict });
    rejection.service = service;
    rejection.rule = incoming.rule.name;
    const AdmissionBasis basis = m_admission->basis(now, claimingTargetOf(incoming));
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
    if (basis.isRefusedForAccount && basis.account) {
        m_observers.metrics.add(Counter::AccountShareRefusals);
        rejection.account = incoming.account;
        rejection.inputs.push_back({ "account_demand_slots", basis.account->demandSlots });
        rejection.inputs.push_back({ "account_fair_slots", basis.account->fairSlots });
        rejection.inputs.push_back({ "account_share", basis.account->admittedShare() });
    }
    return rejection;
}

/// Computes no fingerprint while there are no suspects.
Assessment EntryService::assess(Incoming &incoming) const
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

/// For a quarantined request `assessment.retryAfter` is zero, as a retry would not help.
Rejection EntryService::rejectSuspect(const Incoming &incoming, const Assessment &assessment) const
{
    const bool isFinal = assessment.suspicion == Suspicion::Quarantined;
    const Verdict verdict{ Outcome::NotRun, isFinal ? Reason::Quarantined : Reason::Suspected,
                           assessment.retryAfter };
    Rejection rejection = reject(EarlyRefusal{ incoming.root, verdict });
    rejection.service = incoming.rule.service;
    rejection.rule = incoming.rule.name;
    rejection.fingerprint = incoming.fingerprint;
    rejection.inputs = { { "crashes", static_cast<double>(assessment.crashes) } };
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

Rejection EntryService::rejectOverload(const Incoming &incoming, Duration lag)
{
    const ServiceName &service = incoming.rule.service;
    const Verdict verdict{ Outcome::NotRun, Reason::QueueFull, retryAfterOf(incoming) };
    Rejection rejection = reject(EarlyRefusal{ incoming.root, verdict });
    rejection.service = service;
    rejection.rule = incoming.rule.name;
    rejection.inputs = { { "lag_ms", toMillis(lag) } };
    return rejection;
}

/// Adds the usage to the call during which this one was made. At depth 0 root admission learns the
/// cost of the rule's call tree from it.
void EntryService::recordUsage(const ActiveRequest &active, const AttemptAnswer &answer)
{
    const TreeUsage &usage = answer.message.usage;
    if (active.incoming.tree) {
        m_gates.recordUsage(*active.incoming.tree, usage);
        return;
    }
    if (m_options.hasRootAdmission && active.incoming.depth == Depth(0)) {
        m_admission->onAttemptEnd(m_loop.now(), targetOf(active.incoming), usage,
                                  isSuccess(answer.message.verdict, answer.message.response));
    }
}

void EntryService::reportEnd(const ActiveRequest &active)
{
    if (!active.incoming.isAdmitted) {
        return;
    }
    m_admission->onRequestEnd(targetOf(active.incoming),
                              rootResultOf(active.verdict, active.response.status));
}

Rank EntryService::rankOf(const Incoming &incoming) const
{
    const bool isCommitted = m_options.hasRootAdmission && incoming.depth > Depth(0);
    return isCommitted ? makeCommittedRank(incoming.priority, incoming.depth, incoming.root)
                       : makeRank(incoming.priority, incoming.depth, incoming.root);
}

HttpResponse EntryService::runRequest(IHttpExchange &exchange, Incoming incoming)
{
    if (m_demand != nullptr) {
        m_demand->onCall(incoming.service, incoming.admittedShare);
    }
    EntryCallOptions options;
    options.rule = incoming.rule;
    options.rank = rankOf(incoming);
    options.deadline = incoming.deadline;
    options.isSingleAttempt = incoming.isSingleAttempt;
    if (incoming.once && !incoming.once->ticket.empty()) {
        if (const auto owner = readTicketOwner(incoming.once->ticket)) {
            options.pinned = owner->daemon;
        }
    }
    const ActiveRequestPtr active =
        new ActiveRequest(*this, std::move(incoming), std::move(options));

    active->startedAt = m_loop.now();
    exchange.onDisconnect(
        [this, active] { perform(active, active->call.onCallerGone(m_loop.now())); });
    m_unanswered.push_back(*active);
    const TimePoint now = m_loop.now();
    perform(active, m_hasEndedRequests ? active->call.onStop(now) : active->call.start(now));
    const auto left =
        std::chrono::duration_cast<Duration>(active->incoming.deadline - m_loop.now());
    const auto verdict = active->done.wait(std::max(left, Duration::zero()) + WAIT_MARGIN);
    active->unlink();
    exchange.onDisconnect({});
    if (m_options.infersParents && active->incoming.depth > Depth(0)) {
        m_gates.onInnerAnswer(active->incoming.rule.name);
    }
    active->verdict =
        verdict.value_or(Verdict{ Outcome::Unknown, Reason::Timeout, Duration::zero() });
    if (active->verdict.outcome == Outcome::NotRun) {
        refundAccountToken(active->incoming);
    }
    reportEnd(*active);
    if (active->incoming.depth > Depth(0) && isSuccess(active->verdict, active->response)) {
        m_innerTimes.add(active->incoming.rule.name,
                         std::chrono::duration_cast<Duration>(m_loop.now() - active->startedAt));
    }
    m_recorder.recordEnd(factsOf(active->incoming), resultOf(*active));
    return compose(*active);
}

void EntryService::perform(const ActiveRequestPtr &active, const EntryActions &actions)
{
    for (const EntryAction &action : actions) {
        switch (action.type) {
        case EntryActionType::Send:
            sendAttempt(active, action);
            break;
        case EntryActionType::Cancel:
            m_recorder.recordCancel(factsOf(active->incoming), action);
            m_sender.cancel(active->streams.at(action.attempt.value()));
            break;
        case EntryActionType::Finish:
            active->done.set(action.verdict);
            break;
        }
    }
    armTimer(active);
}

void EntryService::sendAttempt(const ActiveRequestPtr &active, const EntryAction &action)
{
    const Incoming &incoming = active->incoming;
    CallMessage call;
    call.root = incoming.root;
    call.service = incoming.service;
    call.rule = incoming.rule.name;
    call.rank = rankOf(incoming);
    call.depth = incoming.depth;
    call.remaining = std::chrono::duration_cast<Duration>(incoming.deadline - m_loop.now());
    const bool isFirst = action.attempt == AttemptIndex(0);
    call.admittedShare = isFirst ? incoming.admittedShare : DemandShare();
    call.isRepeat = incoming.isRepeat || !isFirst;
    call.granted = action.granted;
    call.mayGoElsewhere = action.mayGoElsewhere;
    call.once = incoming.once;
    if (incoming.objective) {
        const auto left = std::chrono::duration_cast<Duration>(*incoming.objective - m_loop.now());
        call.objectiveLeft = std::max(left, Duration::zero());
    }
    call.request = incoming.request;
    call.fingerprint = incoming.fingerprint;
    call.account = incoming.account;
    call.notice = m_notices.find(action.target, incoming.service);

    m_recorder.recordAttempt(factsOf(incoming), action, call.remaining);
    const std::size_t index = action.attempt.value();
    active->streams.resize(std::max(active->streams.size(), index + 1));
    active->streams[index] = m_sender.send(
        action.target, std::move(call),
        [this, active, attempt = action.attempt, target = action.target](AttemptAnswer answer) {
            if (answer.message.notice) {
                m_notices.store(target, active->incoming.service, *answer.message.notice);
            }
            if (!answer.isFromDaemon) {
                m_recorder.recordLost(factsOf(active->incoming),
                                      { attempt, target, answer.message.verdict });
            }
            onAnswer(active, attempt, std::move(answer));
        });
}

void EntryService::onAnswer(const ActiveRequestPtr &active, AttemptIndex attempt,
                            AttemptAnswer answer)
{
    AttemptResult result;
    result.verdict = answer.message.verdict;
    result.unspent = answer.message.unspent;
    result.load = answer.message.load;
    result.hasLoad = answer.isFromDaemon;
    result.status = answer.message.response.status;
    result.holder = answer.message.holder;
    result.hasReachedUpstream =
        result.verdict.outcome != Outcome::NotRun || answer.message.serviceTime > Duration::zero();
    result.notice = answer.message.notice;
    recordUsage(*active, answer);
    if (m_demand != nullptr && result.verdict.outcome == Outcome::Answered) {
        m_demand->onAnswer(active->incoming.service, answer.message.serviceTime, result.load.speed);
    }
    const bool isWanted = !active->call.isFinished();
    const EntryActions actions = active->call.onEnd(m_loop.now(), attempt, result);
    if (isWanted && result.verdict.outcome == Outcome::Answered) {
        active->response = std::move(answer.message.response);
        active->serviceTime = answer.message.serviceTime;
    }
    perform(active, actions);
}

RequestFacts EntryService::factsOf(const Incoming &incoming) const
{
    return RequestFacts{ incoming.root,    incoming.ownId,    incoming.service, incoming.rule.name,
                         rankOf(incoming), incoming.priority, incoming.depth };
}

RequestResult EntryService::resultOf(const ActiveRequest &active) const
{
    RequestResult result;
    result.verdict = active.verdict;
    result.status = active.response.status;
    result.attempts = active.call.attempts();
    result.took = std::chrono::duration_cast<Duration>(m_loop.now() - active.startedAt);
    result.served = active.serviceTime;
    return result;
}

void EntryService::armTimer(const ActiveRequestPtr &active)
{
    const TimePoint next = active->call.nextTimer();
    if (next == active->timerAt) {
        return;
    }
    m_loop.cancelTimer(active->timer);
    active->timerAt = next;
    if (next == TimePoint::max()) {
        return;
    }
    const auto delay =
        std::max(std::chrono::duration_cast<Duration>(next - m_loop.now()), Duration::zero());
    active->timer = m_loop.callLater(delay, [this, active] {
        active->timerAt = TimePoint::max();
        perform(active, active->call.onTimer(m_loop.now()));
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

HttpResponse EntryService::compose(const ActiveRequest &active) const
{
    if (active.verdict.outcome != Outcome::Answered) {
        return m_dialect.makeRefusal(active.incoming.root, active.verdict, active.call.attempts());
    }
    HttpResponse response = active.response;
    m_dialect.addResultHeaders(active.incoming.root, active.call.attempts(), response);
    return response;
}

} // namespace ivyspar
