#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "app/internal/gate/announcement.h"
#include "app/internal/gate/crashreporter.h"
#include "app/internal/gate/gaterecorder.h"
#include "app/internal/gate/igateservice.h"
#include "app/internal/gate/ionceservice.h"
#include "app/internal/gate/runend.h"
#include "app/internal/gate/suspectgate.h"
#include "app/internal/logs/observers.h"
#include "app/internal/looplag.h"
#include "app/internal/quarantine/iquarantine.h"
#include "app/internal/waketimer.h"
#include "coordination/admission/igate.h"
#include "coordination/admission/lossestimate.h"
#include "coordination/admission/processorload.h"
#include "coordination/calls/iparentfinder.h"
#include "coordination/retries/ilocalretrybudget.h"
#include "protocol/iupstreamdialect.h"
#include "state/irandom.h"
#include "state/result.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"

namespace ivyspar {

struct GateServiceOptions
{
    /// An upstream that has not announced itself for this long is gone. Zero: it stays until it is
    /// withdrawn.
    Duration heartbeatTimeout = std::chrono::seconds(3);
    /// How often upstreams that are gone and idle are dropped, when they are not dropped for
    /// silence.
    Duration sweepInterval = std::chrono::seconds(1);
    /// Calls that may be here at a time, waiting or running.
    std::size_t maxCalls = 20000;
    /// Passes deadlines and cancels on to the upstream.
    bool cancelUpstream = true;
    /// For calls that a server of this host turns away.
    LocalRetryBudgetOptions repeats;
    /// A daemon that is behind tells a full service.
    bool mindsLag = false;
};

/// Runs calls on the upstreams of this host. Traffic thread only.
class GateService : public IGateService, public IOnceListener, public ISuspectListener
{
public:
    using GateMaker = std::function<std::unique_ptr<IGate>(const UpstreamInfo &)>;
    using OnUpstreams = std::function<void(std::vector<UpstreamInfo>)>;
    using OnDoubt = std::function<void(const UpstreamId &)>;

    GateService(IEventLoop &loop, IHttpClient &client, IRandom &random, IOnceService &once,
                IQuarantine &quarantine, const IUpstreamDialect &dialect, GateMaker makeGate,
                Observers observers, GateServiceOptions options);
    ~GateService() override;

    /// Runs whenever the announced upstreams, or what they announced, changed.
    void setOnUpstreams(OnUpstreams onUpstreams) { m_onUpstreams = std::move(onUpstreams); }
    /// Runs when a call met no server, or another run than the one that was announced.
    void setOnDoubt(OnDoubt onDoubt) { m_onDoubt = std::move(onDoubt); }
    void announce(const Announcement &announcement);
    /// That run of the service's server takes no more calls: those that wait are refused, those
    /// that run go on.
    /// `isPlanned`: the server itself has said that it ends.
    void withdraw(const ServiceName &service, const UpstreamId &instance, bool isPlanned);
    /// The daemon ends at `end`: calls that may last longer are refused from now on.
    void startLeaving(TimePoint end) { m_end = end; }
    /// Refuses new calls of all services from now on.
    void startDraining();
    std::size_t callCount() const { return m_calls.size(); }
    std::vector<std::pair<ServiceName, LoadReport>> loads() const;

    CallId handle(CallMessage call, CallSource source, Reply reply) override;
    void cancel(CallId call) override;
    std::optional<CallContext> findContext(const std::string &token) const override;
    InferredContext inferContext(ConnectionTally &tally, const RuleName &rule, TimePoint deadline,
                                 RequestSender maker) override;
    void noteInnerAnswer(const RuleName &rule) override;
    void book(CallTree &tree, const TreeUsage &usage) override;
    LoadReport load(const ServiceName &service) const override;

    void onOnceProceed(CallId call) override;
    void onOnceReply(const OnceReply &reply) override;
    void onSuspectChanged(const Fingerprint &fingerprint) override;

private:
    struct Upstream
    {
        Announcement announcement;
        std::unique_ptr<IGate> gate;
        TimePoint heardAt;
        std::unique_ptr<WakeTimer> tickTimer;
        bool isWithdrawn = false;
        /// The server has said that it ends.
        bool isEndPlanned = false;
        /// The daemon ends before calls of this service may: entries are told to go elsewhere.
        bool endsTooSoon = false;
        LossEstimate loss;
        std::unique_ptr<ILocalRetryBudget> repeats;
    };
    struct Call
    {
        CallMessage message;
        Reply reply;
        CallLedgerPtr ledger;
        CallTreePtr tree;
        TimePoint arrivedAt;
        TimePoint deadline;
        HttpCancellationPtr cancellation;
        bool isCancelled = false;
        /// Waits for its key or ticket, before the gate.
        bool isClaiming = false;
        /// Holds its key or ticket: the end of its run is told to the once service.
        bool isHolding = false;
    };
    Upstream *findUpstream(const ServiceName &service);
    CallContext makeContext(const Call &call) const;
    CallId newCallId();
    void perform(const ServiceName &service, const GateActions &actions);
    void startCall(const ServiceName &service, CallId id);
    void runCall(const ServiceName &service, CallId id);
    /// Sends the call, and again while the server turns it away and repeats are left.
    RunEnd sendToServer(const ServiceName &service, const Announcement &server, CallId id);
    RunEnd exchange(const Announcement &server, CallId id, const Call &call);
    bool isEndPlanned(const ServiceName &service);
    void noteSend(const ServiceName &service, const RunEnd &end);
    bool mayRepeat(const ServiceName &service, const Announcement &server, CallId id);
    void tellDoubt(const UpstreamId &instance);
    void endCall(CallId id, ResponseMessage answer);
    void refuseCall(CallId id, const Verdict &verdict);
    GatedCall stateOf(const Call &call) const;
    Duration noteArrival(TimePoint now, const CallMessage &message, CallSource source);
    void enterGate(CallId id);
    /// False: the call was refused, or waits until no other suspect runs.
    bool passesQuarantine(CallId id, const Upstream &upstream);
    /// The call has ended: if it was a suspect, those that wait have their turn.
    void letNextSuspectIn(const ServiceName &service, CallId ended);
    void endRun(CallId id, RunEnd end, Duration serviceTime);
    void armTick(const ServiceName &service);
    void tick(const ServiceName &service);
    bool isGone(const Upstream &upstream) const;
    Duration sweepInterval() const;
    void dropGoneUpstreams();
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
    OnDoubt m_onDoubt;
    std::unordered_map<ServiceName, Upstream> m_upstreams;
    std::unordered_map<CallId, Call> m_calls;
    std::unique_ptr<IParentFinder> m_parents;
    TimerId m_sweepTimer;
    bool m_isDraining = false;
    TimePoint m_end = TimePoint::max();
};

} // namespace ivyspar
