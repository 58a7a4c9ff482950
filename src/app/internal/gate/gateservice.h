#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "app/internal/gate/announcement.h"
#include "app/internal/gate/crashreporter.h"
#include "app/internal/gate/gaterecorder.h"
#include "app/internal/gate/gatestatus.h"
#include "app/internal/gate/igateservice.h"
#include "app/internal/gate/ionceservice.h"
#include "app/internal/gate/runresult.h"
#include "app/internal/gate/suspectgate.h"
#include "app/internal/gate/upstreamstatements.h"
#include "app/internal/logs/observers.h"
#include "app/internal/looplag.h"
#include "app/internal/quarantine/iquarantine.h"
#include "app/internal/waketimer.h"
#include "coordination/admission/demandrate.h"
#include "coordination/admission/igate.h"
#include "coordination/admission/lossestimate.h"
#include "coordination/admission/processorload.h"
#include "coordination/calls/iparentfinder.h"
#include "coordination/retries/ilocalretrybudget.h"
#include "coordination/upstreams/leavingruns.h"
#include "protocol/iupstreamdialect.h"
#include "state/irandom.h"
#include "state/result.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"

namespace ivyspar {

struct GateServiceOptions
{
    /// An upstream that has not announced itself for this long is removed once it is idle. Zero: it
    /// stays until it is withdrawn.
    Duration heartbeatTimeout = std::chrono::seconds(3);
    /// Interval at which withdrawn, idle upstreams are removed if `heartbeatTimeout` is zero;
    /// otherwise half of that is used.
    Duration sweepInterval = std::chrono::seconds(1);
    /// Maximum number of calls that wait or run here at a time.
    std::size_t maxCalls = 20000;
    /// Aborts the exchange with the upstream when a call is cancelled.
    bool cancelUpstream = true;
    /// Limits repeats of calls that a server of this host refused before starting them.
    LocalRetryBudgetOptions retryBudget;
    /// The event loop's lag is subtracted from the time left of calls that come over a link, and
    /// counts as load in load reports.
    bool compensatesLoopLag = false;
};

/// Runs calls on the upstreams of this host. Traffic thread only.
class GateService : public IGateService, public IOnceListener, public ISuspectListener
{
public:
    using GateMaker = std::function<std::unique_ptr<IGate>(const UpstreamInfo &)>;
    using OnUpstreams = std::function<void(std::vector<UpstreamInfo>)>;
    using OnContactFailure = std::function<void(const UpstreamRun &)>;

    GateService(IEventLoop &loop, IHttpClient &client, IRandom &random, IOnceService &once,
                IQuarantine &quarantine, const IUpstreamDialect &dialect, GateMaker makeGate,
                Observers observers, GateServiceOptions options);
    ~GateService() override;

    /// Called whenever the set of upstreams, or what they announced, has changed.
    void setOnUpstreams(OnUpstreams onUpstreams) { m_onUpstreams = std::move(onUpstreams); }
    /// Called when no connection to the server could be opened, or another run than the announced
    /// one answered.
    void setOnContactFailure(OnContactFailure onContactFailure)
    {
        m_onContactFailure = std::move(onContactFailure);
    }
    void announce(const Announcement &announcement);
    /// Stops sending calls to that run of the service's server: waiting calls are refused, running
    /// ones continue. Ignored if another run is announced. `isPlanned`: the server itself has
    /// announced its shutdown.
    void withdraw(const ServiceName &service, const UpstreamRun &run, bool isPlanned);
    /// Counts a health check of that run against its rate limit. Returns the time to wait before
    /// sending it.
    Duration reserveHealthCheck(const ServiceName &service, const UpstreamRun &run);
    /// Applies what that run states in its response to a health check that was sent at `sentAt`.
    void onHealthResponse(const ServiceName &service, const UpstreamRun &run, TimePoint sentAt,
                          const HttpResponse &response);
    /// The daemon stops at `end`: calls with a later deadline are refused from now on.
    void startLeaving(TimePoint end) { m_endsAt = end; }
    /// Refuses new calls of all services from now on.
    void startDraining();
    /// Number of calls that wait or run here.
    std::size_t callCount() const { return m_calls.size(); }
    /// Returns the state of each upstream's gate.
    std::vector<GateStatus> statuses() const;

    CallId handle(CallMessage call, CallSource source, Reply reply) override;
    void cancel(CallId call) override;
    std::optional<CallContext> findContext(const std::string &token) const override;
    InferredContext inferContext(ConnectionTally &tally, const RuleName &rule, TimePoint deadline,
                                 RequestSender sender) override;
    void onInnerAnswer(const RuleName &rule) override;
    void recordUsage(CallTree &tree, const TreeUsage &usage) override;
    LoadReport load(const ServiceName &service) const override;

    void onOnceProceed(CallId call) override;
    void onOnceReply(const OnceReply &reply) override;
    void onSuspectChanged(const Fingerprint &fingerprint) override;

private:
    struct Upstream
    {
        Announcement announcement;
        std::unique_ptr<IGate> gate;
        TimePoint announcedAt;
        std::unique_ptr<WakeTimer> tickTimer;
        bool isWithdrawn = false;
        /// The server has announced its shutdown.
        bool isEndPlanned = false;
        /// A call of this service was refused as the daemon stops before its deadline: load reports
        /// say that the service is draining, so that entries choose other daemons.
        bool reportsDraining = false;
        LossEstimate loss;
        std::unique_ptr<UpstreamStatements> statements;
        DemandRate sends;
        std::unique_ptr<ILocalRetryBudget> retryBudget;
    };
    struct Call
    {
        CallMessage message;
        Reply reply;
        CallBudgetPtr budget;
        CallTreePtr tree;
        TimePoint arrivedAt;
        TimePoint deadline;
        std::optional<TimePoint> objective;
        TimePoint startedAt;
        HttpCancellationPtr cancellation;
        bool isCancelled = false;
        /// Waits for the claim of its key or ticket, before it enters the gate.
        bool isClaiming = false;
        /// Holds the claim of its key or ticket: its end is reported to the once service.
        bool holdsClaim = false;
    };
    Upstream *findUpstream(const ServiceName &service);
    CallContext makeContext(const Call &call) const;
    CallId newCallId();
    void perform(const ServiceName &service, const GateActions &actions);
    void startCall(const ServiceName &service, const GateAction &action);
    void runCall(const ServiceName &service, CallId id);
    void endFailedCall(const ServiceName &service, CallId id);
    /// Sends the call, and again while the server refuses it and the retry budget allows it.
    RunResult sendToServer(const ServiceName &service, const Announcement &server, CallId id);
    /// `number`: of the send, counted from 1 for the call.
    RunResult exchange(const Announcement &server, CallId id, const Call &call,
                       std::uint32_t number);
    /// Applies what the server states in its response.
    void applyResponse(const Announcement &server, const StatedResponse &response);
    /// Makes the gate heed the server's notice.
    void applyNotice(const ServiceName &service, Upstream &upstream);
    /// Sends no more calls to the run, which has stated that it leaves.
    void stopSending(const ServiceName &service, Upstream &upstream);
    /// Whether calls may be sent to the announced run.
    static bool acceptsCalls(const Upstream &upstream);
    /// Whether that run of the server has announced its shutdown.
    bool isEndPlanned(const Announcement &server);
    void recordSend(const ServiceName &service, const RunResult &run);
    bool maySendAgain(const ServiceName &service, const Announcement &server, CallId id);
    void reportContactFailure(const UpstreamRun &run);
    void endCall(CallId id, ResponseMessage answer);
    void refuseCall(CallId id, const Verdict &verdict, const GateOrderBasis &basis = {});
    /// Returns what the decision log shows of the basis.
    GatedOrder orderOf(const GateOrderBasis &basis) const;
    GatedCall stateOf(const Call &call) const;
    Duration recordArrival(TimePoint now, const CallMessage &message, CallSource source);
    void enterGate(CallId id);
    /// Returns false if the call was refused or waits until no other suspect runs.
    bool passesSuspectGate(CallId id, const Upstream &upstream);
    /// The call has ended: if it was a suspect, admits the next waiting one.
    void admitNextSuspect(const ServiceName &service, CallId ended);
    void endRun(CallId id, RunResult run, Duration serviceTime);
    void armTick(const ServiceName &service);
    void tick(const ServiceName &service);
    bool isRemovable(const Upstream &upstream) const;
    Duration sweepInterval() const;
    void removeGoneUpstreams();
    void reportUpstreams();

    IEventLoop &m_loop;
    IHttpClient &m_client;
    IRandom &m_random;
    IOnceService &m_once;
    IQuarantine &m_quarantine;
    const IUpstreamDialect &m_dialect;
    GateMaker m_makeGate;
    Observers m_observers;
    GateRecorder m_recorder;
    GateServiceOptions m_options;
    LoopLag m_lag;
    CrashReporter m_crashes;
    SuspectGate m_suspects;
    ProcessorLoad m_processor;
    OnUpstreams m_onUpstreams;
    OnContactFailure m_onContactFailure;
    std::unordered_map<ServiceName, Upstream> m_upstreams;
    std::unordered_map<CallId, Call> m_calls;
    std::unique_ptr<IParentFinder> m_parents;
    LeavingRuns m_leavingRuns;
    TimerId m_sweepTimer;
    bool m_isDraining = false;
    TimePoint m_endsAt = TimePoint::max();
};

} // namespace ivyspar
