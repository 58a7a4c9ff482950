#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "app/internal/igateservice.h"
#include "app/internal/ionceservice.h"
#include "app/internal/observers.h"
#include "app/internal/waketimer.h"
#include "coordination/admission/igate.h"
#include "state/irandom.h"
#include "state/member.h"
#include "state/result.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"

namespace ivyspar {

/// What a server says of itself to the daemon on its host.
struct Announcement
{
    UpstreamInfo info;
    Endpoint endpoint;
};

struct GateServiceOptions
{
    /// An upstream that has not announced itself for this long is gone.
    Duration heartbeatTimeout = std::chrono::seconds(3);
    /// Calls that may be here at a time, waiting or running.
    std::size_t maxCalls = 20000;
    /// Passes deadlines and cancels on to the upstream.
    bool cancelUpstream = true;
};

/// Runs calls on the upstreams of this host. Traffic thread only.
class GateService : public IGateService, public IOnceListener
{
public:
    using GateMaker = std::function<std::unique_ptr<IGate>(const UpstreamInfo &)>;
    using OnUpstreams = std::function<void(std::vector<UpstreamInfo>)>;

    GateService(IEventLoop &loop, IHttpClient &client, IRandom &random, IOnceService &once,
                GateMaker makeGate, Observers observers, GateServiceOptions options);
    ~GateService() override;

    /// Runs whenever the announced upstreams, or what they announced, changed.
    void setOnUpstreams(OnUpstreams onUpstreams) { m_onUpstreams = std::move(onUpstreams); }
    void announce(const Announcement &announcement);
    /// Refuses new calls of all services from now on.
    void startDraining();
    std::size_t callCount() const { return m_calls.size(); }
    std::vector<std::pair<ServiceName, LoadReport>> loads() const;

    CallId handle(CallMessage call, Reply reply) override;
    void cancel(CallId call) override;
    std::optional<CallContext> findContext(const std::string &token) const override;
    LoadReport load(const ServiceName &service) const override;

    void onOnceProceed(CallId call) override;
    void onOnceReply(const OnceReply &reply) override;

private:
    struct Upstream
    {
        Announcement announcement;
        std::unique_ptr<IGate> gate;
        TimePoint heardAt;
        std::unique_ptr<WakeTimer> tickTimer;
    };
    struct Call
    {
        CallMessage message;
        Reply reply;
        CallLedgerPtr ledger;
        TimePoint arrivedAt;
        TimePoint deadline;
        HttpCancellationPtr cancellation;
        bool isCancelled = false;
        /// Waits for its key or ticket, before the gate.
        bool isClaiming = false;
        /// Holds its key or ticket: the end of its run is told to the once service.
        bool isHolding = false;
    };
    /// How a run at the upstream ended.
    struct RunEnd
    {
        Verdict verdict;
        CallResult result = CallResult::Success;
        HttpResponse response;
    };

    Upstream *findUpstream(const ServiceName &service);
    CallId newCallId();
    void perform(const ServiceName &service, const GateActions &actions);
    void startCall(const ServiceName &service, CallId id);
    void runCall(const ServiceName &service, CallId id);
    RunEnd exchange(const Endpoint &endpoint, CallId id, const Call &call);
    void endCall(CallId id, AnswerMessage answer);
    void refuseCall(CallId id, const Verdict &verdict);
    void record(DecisionKind kind, const Call &call, const char *reason);
    void enterGate(CallId id);
    void endRun(CallId id, RunEnd end, Duration serviceTime);
    void armTick(const ServiceName &service);
    void tick(const ServiceName &service);
    void dropSilentUpstreams();
    void reportUpstreams();

    IEventLoop &m_loop;
    IHttpClient &m_client;
    IRandom &m_random;
    IOnceService &m_once;
    GateMaker m_makeGate;
    Observers m_observers;
    GateServiceOptions m_options;
    OnUpstreams m_onUpstreams;
    std::unordered_map<ServiceName, Upstream> m_upstreams;
    std::unordered_map<CallId, Call> m_calls;
    TimerId m_silenceTimer;
    bool m_isDraining = false;
};

} // namespace ivyspar
