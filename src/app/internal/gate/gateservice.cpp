#include "app/internal/gate/gateservice.h"

#include <algorithm>
#include <utility>

#include "state/idvalue.h"
#include "state/rank.h"

namespace ivyspar {

namespace {

/// Share of the call's remaining time after which an unsettled claim is refused. The rest leaves
/// the entry time to report that the call was not run; at the deadline it could only report
/// "unknown".
constexpr int CLAIM_SHARE_PERCENT = 90;

/// Maximum number of times that a call is sent to a server that refuses it: if half of all sends
/// are refused, fewer than 2 in 100 calls fail.
constexpr std::uint32_t MAX_SENDS = 6;

/// Time over which the rate of sends to a server is averaged for the metrics.
constexpr Duration SEND_RATE_TIME = std::chrono::seconds(4);

bool isUpstreamRefusal(const Verdict &verdict)
{
    return verdict.outcome == Outcome::NotRun && verdict.reason == Reason::UpstreamRefused;
}

/// Whether the response comes from the run that the request was meant for.
bool isFromRun(UpstreamResponseKind kind)
{
    return kind == UpstreamResponseKind::Ran || kind == UpstreamResponseKind::Refused;
}

/// Of an exchange whose response ended as the server did.
HttpFailure makeCrashFailure()
{
    HttpFailure failure;
    failure.text = "the server ended before its response was complete";
    failure.hasConnectionEnded = true;
    return failure;
}

std::optional<CallId> fromToken(const std::string &token)
{
    constexpr std::size_t TOKEN_SIZE = 16;
    constexpr char HEX[] = "0123456789abcdef";
    if (token.size() != TOKEN_SIZE || token.find_first_not_of(HEX) != std::string::npos) {
        return std::nullopt;
    }
    return CallId(std::strtoull(token.c_str(), nullptr, 16));
}

} // namespace

GateService::GateService(IEventLoop &loop, IHttpClient &client, IRandom &random, IOnceService &once,
                         IQuarantine &quarantine, const IUpstreamDialect &dialect,
                         GateMaker makeGate, Observers observers, GateServiceOptions options)
    : m_loop(loop)
    , m_client(client)
    , m_random(random)
    , m_once(once)
    , m_quarantine(quarantine)
    , m_dialect(dialect)
    , m_makeGate(std::move(makeGate))
    , m_observers(observers)
    , m_recorder(observers)
    , m_options(options)
    , m_lag(loop)
    , m_crashes(loop, client, random, quarantine, m_recorder)
    , m_suspects(quarantine)
    , m_parents(makeParentFinder())
{
    m_quarantine.setListener(this);
    m_sweepTimer = m_loop.callLater(sweepInterval(), [this] { removeGoneUpstreams(); });
}

GateService::~GateService()
{
    m_quarantine.setListener(nullptr);
    m_loop.cancelTimer(m_sweepTimer);
}

void GateService::announce(const Announcement &announcement)
{
    const TimePoint now = m_loop.now();
    const ServiceName &service = announcement.info.service;
    const bool isNew = m_upstreams.count(service) == 0;
    Upstream &upstream = m_upstreams[service];
    const UpstreamInfo before = upstream.announcement.info;
    const bool hasMoved = upstream.announcement.endpoint != announcement.endpoint;
    const bool isOtherRun = upstream.announcement.run != announcement.run;
    if (isOtherRun && upstream.isEndPlanned && upstream.announcement.run.isNamed()) {
        m_leavingRuns.add(nameOf(upstream.announcement));
    }
    upstream.announcement = announcement;
    if (isNew) {
        upstream.statements = std::make_unique<UpstreamStatements>(
            m_dialect, m_recorder, m_observers.metrics, m_leavingRuns);
    }
    const bool hadSpeed = upstream.statements->hasStatedSpeed();
    const bool isNoticeChanged = upstream.statements->onAnnounced(announcement);
    // What the server states in its responses goes before what it announces.
    const bool isDraining = announcement.info.draining || upstream.statements->notice().isLeaving;
    upstream.announcement.info.draining = isDraining;
    m_crashes.onAnnounced(announcement);
    upstream.announcedAt = now;
    if (isNew) {
        upstream.gate = m_makeGate(announcement.info);
        upstream.retryBudget = makeLocalRetryBudget(m_options.retryBudget);
        upstream.tickTimer =
            std::make_unique<WakeTimer>(m_loop, [this, service] { tick(service); });
    }
    if (!isNew && isNoticeChanged) {
        applyNotice(service, upstream);
    }
    if (hadSpeed && !upstream.statements->hasStatedSpeed()) {
        perform(service, upstream.gate->setServerLoad(now, ServerLoad()));
    }
    const bool isChanged = isNew || isOtherRun || before.slots != announcement.info.slots
        || before.connections != announcement.info.connections || before.draining != isDraining;
    // A server that was restarted on another port may differ in nothing but its endpoint. Without
    // this call the new endpoint would have the default limit, and requests beyond it would be
    // refused while the server is idle.
    if (isChanged || hasMoved) {
        m_client.setConnectionLimit(announcement.endpoint, announcement.info.connections);
    }
    if (!isChanged) {
        return;
    }
    upstream.isWithdrawn = false;
    upstream.isEndPlanned = isDraining;
    upstream.gate->setDraining(isDraining || m_isDraining);
    perform(
        service,
        upstream.gate->setCapacity(now, announcement.info.slots, announcement.info.connections));
    reportUpstreams();
}

void GateService::withdraw(const ServiceName &service, const UpstreamRun &run, bool isPlanned)
{
    Upstream *upstream = findUpstream(service);
    if (!upstream || upstream->announcement.run != run) {
        return;
    }
    upstream->isWithdrawn = true;
    upstream->isEndPlanned = isPlanned;
    upstream->announcement.info.draining = true;
    upstream->gate->setDraining(true);
    perform(service, upstream->gate->setCapacity(m_loop.now(), 0, 0));
    reportUpstreams();
}

void GateService::startDraining()
{
    m_isDraining = true;
    for (auto &[service, upstream] : m_upstreams) {
        upstream.gate->setDraining(true);
    }
}

std::vector<GateStatus> GateService::statuses() const
{
    const TimePoint now = m_loop.now();
    std::vector<GateStatus> statuses;
    for (const auto &[service, upstream] : m_upstreams) {
        statuses.push_back(
            GateStatus{ service, upstream.gate->load(now), upstream.statements->notice(),
                        upstream.sends.rate(now, SEND_RATE_TIME), upstream.gate->queuedOnTime(),
                        upstream.statements->stated(now) });
    }
    return statuses;
}

CallId GateService::handle(CallMessage message, CallSource source, Reply reply)
{
    const TimePoint now = m_loop.now();
    const Duration readLag = recordArrival(now, message, source);
    const CallId id = newCallId();
    Call &call = m_calls[id];
    call.reply = std::move(reply);
    call.budget = new CallBudget(message.granted);
    call.tree = new CallTree;
    call.tree->rule = message.rule;
    call.arrivedAt = now;
    call.deadline = now + message.remaining - readLag;
    if (message.objectiveLeft) {
        call.objective = now + *message.objectiveLeft - readLag;
    }
    call.message = std::move(message);

    const ServiceName service = call.message.service;
    if (m_calls.size() > m_options.maxCalls) {
        refuseCall(id, Verdict{ Outcome::NotRun, Reason::QueueFull, Duration::zero() });
        return id;
    }
    if (m_isDraining) {
        refuseCall(id, Verdict{ Outcome::NotRun, Reason::Draining, Duration::zero() });
        return id;
    }
    Upstream *upstream = findUpstream(service);
    if (!upstream) {
        refuseCall(id, Verdict{ Outcome::NotRun, Reason::NoServer, Duration::zero() });
        return id;
    }
    if (upstream->statements->onForwarded(upstream->announcement, call.message)) {
        applyNotice(service, *upstream);
    }
    if (call.deadline > m_endsAt) {
        // If the load reported with the refusal did not say that the service is draining, the entry
        // would use this daemon again, and each call would come here first.
        upstream->reportsDraining = true;
        refuseCall(id, Verdict{ Outcome::NotRun, Reason::Draining, Duration::zero() });
        return id;
    }
    if (call.message.once) {
        call.isClaiming = true;
        m_once.request(id, call.message, now + call.message.remaining * CLAIM_SHARE_PERCENT / 100);
        return id;
    }
    enterGate(id);
    return id;
}

/// Returns how long the call may have waited here before it was read. Zero for calls of this
/// daemon, as its entry has already subtracted the lag.
Duration GateService::recordArrival(TimePoint now, const CallMessage &message, CallSource source)
{
    if (!m_options.compensatesLoopLag) {
        return Duration::zero();
    }
    const Duration lag = m_lag.current();
    m_processor.onArrival(now, message.admittedShare, lag);
    if (source == CallSource::ThisDaemon) {
        return Duration::zero();
    }
    m_observers.metrics.observe(Timing::ReadLag, lag);
    return lag;
}

void GateService::enterGate(CallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    const Call &call = found->second;
    const ServiceName service = call.message.service;
    Upstream *upstream = findUpstream(service);
    if (!upstream) {
        refuseCall(id, Verdict{ Outcome::NotRun, Reason::NoServer, Duration::zero() });
        return;
    }
    if (!passesSuspectGate(id, *upstream)) {
        return;
    }
    const GateRequest request{ id,
                               call.message.rank,
                               call.deadline,
                               call.message.admittedShare,
                               call.objective,
                               call.message.rule,
                               call.message.mayGoElsewhere };
    perform(service, upstream->gate->offer(m_loop.now(), request));
}

bool GateService::passesSuspectGate(CallId id, const Upstream &upstream)
{
    const SuspectDecision decision =
        m_suspects.admit(id, m_calls.at(id).message, upstream.announcement);
    if (decision.action == SuspectAction::Refuse) {
        refuseCall(id, decision.verdict);
    }
    return decision.action == SuspectAction::Admit;
}

void GateService::admitNextSuspect(const ServiceName &service, CallId ended)
{
    if (!m_suspects.onCallEnd(ended)) {
        return;
    }
    while (const auto next = m_suspects.takeNext(service)) {
        enterGate(*next);
    }
}

/// Waiting calls may have been cleared or quarantined, so they are admitted again.
void GateService::onSuspectChanged(const Fingerprint &fingerprint)
{
    for (const CallId id : m_suspects.takeWaiting(fingerprint)) {
        enterGate(id);
    }
}

void GateService::onOnceProceed(CallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        m_once.notRun(id);
        return;
    }
    found->second.isClaiming = false;
    found->second.holdsClaim = true;
    enterGate(id);
}

void GateService::onOnceReply(const OnceReply &reply)
{
    ResponseMessage answer;
    answer.verdict = reply.verdict;
    answer.response = reply.response;
    answer.holder = reply.holder;
    endCall(reply.call, std::move(answer));
}

void GateService::cancel(CallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || found->second.isCancelled) {
        return;
    }
    Call &call = found->second;
    if (call.isClaiming) {
        m_once.cancel(id);
        refuseCall(id, Verdict{ Outcome::NotRun, Reason::Cancelled, Duration::zero() });
        return;
    }
    if (m_suspects.isWaiting(id)) {
        refuseCall(id, Verdict{ Outcome::NotRun, Reason::Cancelled, Duration::zero() });
        return;
    }
    Upstream *upstream = findUpstream(call.message.service);
    if (upstream && upstream->gate->cancel(m_loop.now(), id) == CancelEffect::NotStarted) {
        refuseCall(id, Verdict{ Outcome::NotRun, Reason::Cancelled, Duration::zero() });
        return;
    }
    call.isCancelled = true;
    // A call that must run at most once continues: its result is stored for the caller's next
    // attempt.
    if (call.cancellation && m_options.cancelUpstream && !call.message.once) {
        call.cancellation->cancel();
    }
}

std::optional<CallContext> GateService::findContext(const std::string &token) const
{
    const auto id = fromToken(token);
    const auto found = id ? m_calls.find(*id) : m_calls.end();
    if (found == m_calls.end() || !found->second.cancellation) {
        return std::nullopt;
    }
    return makeContext(found->second);
}

CallContext GateService::makeContext(const Call &call) const
{
    CallContext context;
    context.root = call.message.root;
    context.priority = priorityOf(call.message.rank);
    context.depth = call.message.depth;
    context.deadline = call.deadline;
    context.budget = call.budget;
    context.tree = call.tree;
    context.admittedShare = call.message.admittedShare;
    context.isRepeat = call.message.isRepeat;
    context.account = call.message.account;
    context.objective = call.objective;
    const auto upstream = m_upstreams.find(call.message.service);
    context.expectedEnd = upstream == m_upstreams.end()
        ? m_loop.now()
        : call.startedAt + upstream->second.gate->expectedTime(call.message.rule);
    return context;
}

InferredContext GateService::inferContext(ConnectionTally &tally, const RuleName &rule,
                                          TimePoint deadline, RequestSender sender)
{
    if (sender == RequestSender::Server && !m_parents->isServerBusy(m_loop.now())) {
        return {};
    }
    const ParentMatch match = m_parents->find(m_loop.now(), tally, rule, deadline, sender);
    InferredContext inferred;
    inferred.isInner = match.isInner;
    const auto found = match.parent ? m_calls.find(*match.parent) : m_calls.end();
    if (found != m_calls.end()) {
        inferred.parent = makeContext(found->second);
        // A wrong guess must not attribute the call to another account.
        inferred.parent->account = AccountName();
    }
    return inferred;
}

void GateService::onInnerAnswer(const RuleName &rule)
{
    m_parents->onInnerAnswer(m_loop.now(), rule);
}

/// An inferred parent often ends before the call does. Without another tree the usage would be
/// lost, and the usage of all rules would be underestimated.
void GateService::recordUsage(CallTree &tree, const TreeUsage &usage)
{
    if (!tree.isClosed) {
        addUsage(tree.usage, usage);
        return;
    }
    const auto other = m_parents->findRunning(tree.rule);
    const auto found = other ? m_calls.find(*other) : m_calls.end();
    if (found != m_calls.end()) {
        addUsage(found->second.tree->usage, usage);
    }
}

LoadReport GateService::load(const ServiceName &service) const
{
    const auto found = m_upstreams.find(service);
    LoadReport report;
    if (found != m_upstreams.end()) {
        report = found->second.gate->load(m_loop.now());
        report.draining = report.draining || found->second.reportsDraining;
        if (m_options.compensatesLoopLag) {
            report.demand = std::max(report.demand, m_processor.load());
        }
    }
    report.draining = report.draining || m_isDraining || found == m_upstreams.end();
    return report;
}

GateService::Upstream *GateService::findUpstream(const ServiceName &service)
{
    const auto found = m_upstreams.find(service);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

CallId GateService::newCallId()
{
    CallId id;
    do {
        id = CallId(m_random.next());
    } while (id == CallId() || m_calls.count(id) > 0);
    return id;
}

void GateService::perform(const ServiceName &service, const GateActions &actions)
{
    for (const GateAction &action : actions) {
        if (action.verb == GateVerb::Start) {
            startCall(service, action);
        } else {
            refuseCall(action.id, action.verdict, action.basis);
        }
    }
    armTick(service);
}

void GateService::startCall(const ServiceName &service, const GateAction &action)
{
    const CallId id = action.id;
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    found->second.startedAt = m_loop.now();
    found->second.cancellation = new HttpCancellation;
    m_observers.metrics.add(Counter::GateStarts);
    m_observers.metrics.observe(
        Timing::GateWait,
        std::chrono::duration_cast<Duration>(m_loop.now() - found->second.arrivedAt));
    if (!m_recorder.wouldDrop(DecisionKind::Admit, Importance::Routine,
                              found->second.message.root)) {
        m_recorder.recordAdmitted(stateOf(found->second), orderOf(action.basis));
    }
    m_recorder.countStart(action.basis);
    m_loop.spawn([this, service, id] {
        if (!m_loop.runGuarded([&] { runCall(service, id); })) {
            endFailedCall(service, id);
        }
    });
}

/// Without this, a call that an exception has ended would keep its slot, and its caller would wait
/// until the deadline.
void GateService::endFailedCall(const ServiceName &service, CallId id)
{
    GateActions next;
    if (Upstream *upstream = findUpstream(service)) {
        next = upstream->gate->finish(m_loop.now(), id, CallResult::Failure, Duration::zero());
    }
    RunResult run;
    run.result = CallResult::Failure;
    run.verdict = Verdict{ Outcome::Unknown, Reason::BrokenAnswer, Duration::zero() };
    endRun(id, std::move(run), Duration::zero());
    perform(service, next);
}

void GateService::runCall(const ServiceName &service, CallId id)
{
    const auto found = m_calls.find(id);
    Upstream *upstream = findUpstream(service);
    if (found == m_calls.end() || !upstream) {
        return;
    }
    const TimePoint startedAt = m_loop.now();
    const Announcement server = upstream->announcement;
    RunResult run;
    if (!acceptsCalls(*upstream)) {
        // The server was withdrawn after the gate had started the call.
        run = notRun(Reason::Draining);
    } else if (startedAt >= found->second.deadline
               || (found->second.holdsClaim && !m_once.start(id))) {
        // The process was paused until after the deadline, or until the claim of the key expired.
        run = notRun(Reason::DeadlineExceeded);
    } else if (const auto decision = m_suspects.start(id, found->second.message, server);
               decision.action == SuspectAction::Refuse) {
        run = notRun(decision.verdict.reason);
        run.verdict = decision.verdict;
    } else {
        run = sendToServer(service, server, id);
    }

    const TimePoint now = m_loop.now();
    const auto serviceTime = std::chrono::duration_cast<Duration>(now - startedAt);
    GateActions next;
    if (Upstream *gateOwner = findUpstream(service)) {
        next = gateOwner->gate->finish(now, id, run.result, serviceTime);
    }
    if (const auto ended = m_calls.find(id); ended != m_calls.end()) {
        m_recorder.recordRun(ended->second.message, server.run.instance, run.verdict,
                             run.response.status, serviceTime);
    }
    endRun(id, std::move(run), serviceTime);
    perform(service, next);
}

void GateService::endRun(CallId id, RunResult run, Duration serviceTime)
{
    m_observers.metrics.observe(Timing::Upstream, serviceTime);
    const auto found = m_calls.find(id);
    if (found != m_calls.end() && found->second.holdsClaim
        && run.verdict.outcome != Outcome::NotRun) {
        found->second.holdsClaim = false;
        m_once.finished(id, run.verdict, run.response);
    }
    if (found != m_calls.end() && found->second.objective
        && run.verdict.outcome == Outcome::Answered) {
        m_recorder.countAnswer(m_loop.now() <= *found->second.objective);
    }
    ResponseMessage answer;
    answer.verdict = run.verdict;
    answer.response = std::move(run.response);
    answer.serviceTime = serviceTime;
    endCall(id, std::move(answer));
}

/// 1. A server that is starting or partly failing may refuse calls at random although it has
///    capacity.
/// 2. A request with eight calls to such a server would succeed once in a hundred times, after all
///    services above have done their work.
/// 3. Sending the call again from here costs one message on this host and no round trip to the
///    entry. This is done only for calls that the server reports as not started.
RunResult GateService::sendToServer(const ServiceName &service, const Announcement &server,
                                    CallId id)
{
    findUpstream(service)->retryBudget->onArrival(m_loop.now(), m_calls.at(id).message.isRepeat);
    for (std::uint32_t number = 1;; ++number) {
        RunResult run = exchange(server, id, m_calls.at(id), number);
        recordSend(service, run);
        const bool isRepeated = number < MAX_SENDS && isUpstreamRefusal(run.verdict)
            && maySendAgain(service, server, id);
        if (!isRepeated) {
            return run;
        }
    }
}

void GateService::recordSend(const ServiceName &service, const RunResult &run)
{
    Upstream *upstream = findUpstream(service);
    if (!upstream || run.result == CallResult::Cancelled || run.result == CallResult::TimedOut) {
        return;
    }
    const bool isBroken =
        run.verdict.reason == Reason::BrokenAnswer || run.verdict.reason == Reason::ServerCrashed;
    upstream->loss.add(isBroken || isUpstreamRefusal(run.verdict));
}

bool GateService::maySendAgain(const ServiceName &service, const Announcement &server, CallId id)
{
    const auto found = m_calls.find(id);
    Upstream *upstream = findUpstream(service);
    if (found == m_calls.end() || !upstream || !acceptsCalls(*upstream)) {
        return false;
    }
    const Call &call = found->second;
    const TimePoint now = m_loop.now();
    if (call.isCancelled || now >= call.deadline || !isSameRun(upstream->announcement, server)) {
        return false;
    }
    return upstream->retryBudget->tryTake(now, priorityOf(call.message.rank))
        && upstream->gate->tryCountSend(now);
}

RunResult GateService::exchange(const Announcement &server, CallId id, const Call &call,
                                std::uint32_t number)
{
    const auto remaining = std::chrono::duration_cast<Duration>(call.deadline - m_loop.now());
    HttpRequest request = call.message.request;
    m_dialect.prepareRequest(
        UpstreamSend{ toHex(id.value()), remaining, server.run.instance, call.message.account },
        request);
    // The call may have been removed when the exchange ends.
    const HttpCancellationPtr cancellation = call.cancellation;
    const AccountName account = call.message.account;
    const RootId root = call.message.root;
    const TimePoint sentAt = m_loop.now();
    EndedSend ended{ root, call.message.rule, call.message.rank, server, number };
    TrackedCall tracked;
    if (Upstream *upstream = findUpstream(server.info.service)) {
        upstream->sends.add(sentAt, 1, SEND_RATE_TIME);
        tracked = upstream->statements->startCall(sentAt, upstream->gate->load(sentAt).inFlight);
    }
    m_parents->onStart(id, call.message.rule, m_loop.now() + remaining);
    HttpResult result = m_client.exchange(server.endpoint, request, remaining, cancellation);
    m_parents->onEnd(m_loop.now(), id);
    if (result && isFromRun(m_dialect.classify(*result))) {
        applyResponse(server, { *result, root, sentAt, &tracked });
    }
    ended.report = result.send;
    ended.status = result ? result->status : 0;
    ended.failure = result ? std::string() : result.error().text;
    const ServerSend send{ server, sentAt };
    const bool isCrash = m_crashes.hasCrashed(send, result, isEndPlanned(server));
    if (isCrash && result) {
        result = tl::unexpected<HttpFailure>(makeCrashFailure());
        ended.failure = result.error().text;
    }
    RunResult run =
        result ? resultOfResponse(m_dialect, std::move(*result)) : resultOfFailure(result.error());
    if (isCrash) {
        run.verdict.reason = Reason::ServerCrashed;
    }
    ended.verdict = run.verdict;
    ended.took = std::chrono::duration_cast<Duration>(m_loop.now() - sentAt);
    m_recorder.recordSend(ended);
    m_crashes.onEnd(send, account, request, run, m_suspects.runOf(id));
    if (run.isContactFailure) {
        reportContactFailure(server.run);
    }
    return run;
}

void GateService::applyResponse(const Announcement &server, const StatedResponse &response)
{
    Upstream *upstream = findUpstream(server.info.service);
    if (!upstream || !isSameRun(upstream->announcement, server)) {
        return;
    }
    const TimePoint now = m_loop.now();
    if (upstream->statements->readNotice(server, now, response)) {
        applyNotice(server.info.service, *upstream);
    }
    if (upstream->statements->readLoad(server, now, response, upstream->gate->load(now).inFlight)) {
        perform(server.info.service,
                upstream->gate->setServerLoad(now, upstream->statements->serverLoad()));
    }
}

Duration GateService::reserveHealthCheck(const ServiceName &service, const UpstreamRun &run)
{
    Upstream *upstream = findUpstream(service);
    if (!upstream || upstream->announcement.run != run) {
        return Duration::zero();
    }
    const TimePoint now = m_loop.now();
    upstream->sends.add(now, 1, SEND_RATE_TIME);
    return upstream->gate->reserveSend(now);
}

void GateService::onHealthResponse(const ServiceName &service, const UpstreamRun &run,
                                   TimePoint sentAt, const HttpResponse &response)
{
    const Upstream *upstream = findUpstream(service);
    if (upstream && upstream->announcement.run == run) {
        const Announcement server = upstream->announcement;
        applyResponse(server, { response, RootId(), sentAt, nullptr });
    }
}

void GateService::applyNotice(const ServiceName &service, Upstream &upstream)
{
    const std::optional<RequestRate> limit = upstream.statements->notice().rateLimit;
    perform(service, upstream.gate->setRateLimit(m_loop.now(), limit));
    if (upstream.statements->notice().isLeaving && !upstream.announcement.info.draining) {
        stopSending(service, upstream);
    }
}

void GateService::stopSending(const ServiceName &service, Upstream &upstream)
{
    upstream.announcement.info.draining = true;
    upstream.isEndPlanned = true;
    upstream.gate->setDraining(true);
    perform(service, upstream.gate->setCapacity(m_loop.now(), 0, 0));
    reportUpstreams();
}

bool GateService::acceptsCalls(const Upstream &upstream)
{
    return !upstream.isWithdrawn && !upstream.statements->notice().isLeaving;
}

bool GateService::isEndPlanned(const Announcement &server)
{
    const Upstream *upstream = findUpstream(server.info.service);
    if (!upstream) {
        return true;
    }
    return isSameRun(upstream->announcement, server) ? upstream->isEndPlanned
                                                     : m_leavingRuns.contains(nameOf(server));
}

void GateService::reportContactFailure(const UpstreamRun &run)
{
    if (m_onContactFailure && run.isNamed()) {
        m_onContactFailure(run);
    }
}

GatedOrder GateService::orderOf(const GateOrderBasis &basis) const
{
    GatedOrder order{ basis, RootId(), RuleName(), Priority() };
    const auto rival = m_calls.find(basis.rival);
    if (rival != m_calls.end()) {
        order.rival = rival->second.message.root;
        order.rivalRule = rival->second.message.rule;
        order.rivalPriority = priorityOf(rival->second.message.rank);
    }
    return order;
}

void GateService::refuseCall(CallId id, const Verdict &verdict, const GateOrderBasis &basis)
{
    m_observers.metrics.add(Counter::GateRefusals);
    m_recorder.countRefusal(basis);
    const auto found = m_calls.find(id);
    if (found != m_calls.end()
        && !m_recorder.wouldDrop(DecisionKind::Refuse, Importance::Essential,
                                 found->second.message.root)) {
        m_recorder.recordRefused(stateOf(found->second), verdict.reason, orderOf(basis));
    }
    ResponseMessage answer;
    answer.verdict = verdict;
    endCall(id, std::move(answer));
}

void GateService::endCall(CallId id, ResponseMessage answer)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    const Call call = std::move(found->second);
    m_calls.erase(found);
    if (call.holdsClaim) {
        // The call ended before its run: release the claim, or the caller's next attempt could
        // never run.
        m_once.notRun(id);
    }
    answer.stream = call.message.stream;
    answer.unspent = call.budget->budget.close();
    answer.load = load(call.message.service);
    answer.usage = std::move(call.tree->usage);
    call.tree->isClosed = true;
    const Upstream *upstream = findUpstream(call.message.service);
    addUsage(answer.usage,
             { ServiceUsage{ call.message.service, answer.serviceTime, answer.load.demand,
                             upstream ? upstream->loss.share() : LossShare() } });
    if (upstream) {
        answer.notice = upstream->statements->forwardedNotice();
    }
    const ServiceName service = call.message.service;
    call.reply(std::move(answer));
    admitNextSuspect(service, id);
}

GatedCall GateService::stateOf(const Call &call) const
{
    GatedCall state{ call.message,
                     std::chrono::duration_cast<Duration>(m_loop.now() - call.arrivedAt),
                     std::chrono::duration_cast<Duration>(call.deadline - m_loop.now()),
                     load(call.message.service),
                     {},
                     {},
                     m_loop.now() };
    const auto upstream = m_upstreams.find(call.message.service);
    if (upstream != m_upstreams.end()) {
        state.rateLimit = upstream->second.statements->notice().rateLimit;
        state.serverLoad = upstream->second.statements->serverLoad();
    }
    return state;
}

void GateService::armTick(const ServiceName &service)
{
    if (Upstream *upstream = findUpstream(service)) {
        upstream->tickTimer->wakeAt(upstream->gate->nextTick());
    }
}

void GateService::tick(const ServiceName &service)
{
    if (Upstream *upstream = findUpstream(service)) {
        perform(service, upstream->gate->tick(m_loop.now()));
    }
}

bool GateService::isRemovable(const Upstream &upstream) const
{
    const bool isSilent = m_options.heartbeatTimeout > Duration::zero()
        && m_loop.now() - upstream.announcedAt > m_options.heartbeatTimeout;
    if (!isSilent && !upstream.isWithdrawn) {
        return false;
    }
    // The gate is kept while it has calls: its counts must survive a missed heartbeat.
    const LoadReport load = upstream.gate->load(m_loop.now());
    return load.inFlight == 0 && load.queued == 0;
}

Duration GateService::sweepInterval() const
{
    const bool dropsSilent = m_options.heartbeatTimeout > Duration::zero();
    return dropsSilent ? m_options.heartbeatTimeout / 2 : m_options.sweepInterval;
}

void GateService::removeGoneUpstreams()
{
    m_sweepTimer = m_loop.callLater(sweepInterval(), [this] { removeGoneUpstreams(); });
    bool isChanged = false;
    for (auto it = m_upstreams.begin(); it != m_upstreams.end();) {
        const bool isDropped = isRemovable(it->second);
        isChanged = isChanged || isDropped;
        it = isDropped ? m_upstreams.erase(it) : std::next(it);
    }
    if (isChanged) {
        reportUpstreams();
    }
}

void GateService::reportUpstreams()
{
    if (!m_onUpstreams) {
        return;
    }
    std::vector<UpstreamInfo> infos;
    for (const auto &[service, upstream] : m_upstreams) {
        infos.push_back(upstream.announcement.info);
    }
    m_onUpstreams(std::move(infos));
}

} // namespace ivyspar
