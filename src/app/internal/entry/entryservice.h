#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "app/internal/accounts/iaccounts.h"
#include "app/internal/balance/icalldemand.h"
#include "app/internal/entry/entryrecorder.h"
#include "app/internal/entry/icallsender.h"
#include "app/internal/entry/unansweredrequest.h"
#include "app/internal/gate/igateservice.h"
#include "app/internal/logs/observers.h"
#include "app/internal/looplag.h"
#include "app/internal/quarantine/iquarantine.h"
#include "coordination/admission/irootadmission.h"
#include "coordination/admission/processorguard.h"
#include "coordination/admission/servicetimes.h"
#include "coordination/calls/internal/entrycall.h"
#include "coordination/routing/iweightedsplit.h"
#include "coordination/upstreams/noticestore.h"
#include "protocol/irequestdialect.h"
#include "state/configuration.h"
#include "transport/ieventloop.h"
#include "transport/ihttpserver.h"

namespace ivyspar {

struct EntryOptions
{
    /// Maximum number of requests that are served here at a time.
    std::size_t maxRequests = 20000;
    /// If false, each call of an upstream starts an attempt budget of its own; for measurements
    /// only.
    bool hasSharedBudget = true;
    /// Requests are admitted by the cost of their whole call tree, and inner calls of admitted
    /// requests take precedence over new requests.
    bool hasRootAdmission = false;
    RootAdmissionOptions admission;
    /// The event loop's lag is subtracted from the time left of each request, and requests of
    /// callers are refused if the lag is too high for the priority of their rule.
    bool compensatesLoopLag = false;
    /// Calls of upstreams arrive together with requests of callers and carry no context token, so
    /// their parents are inferred.
    bool infersParents = false;
};

/// Handles requests of callers, and calls of the upstreams on this host, up to their answers.
/// Traffic thread only.
class EntryService
{
public:
    EntryService(IEventLoop &loop, const IRequestDialect &dialect, EntryPolicies policies,
                 ICallSender &sender, IGateService &gates, IQuarantine &quarantine,
                 IAccounts &accounts, Observers observers, EntryOptions options);

    /// See `IRootAdmission::accountShares`.
    std::vector<AccountShareStatus> accountShares() const;
    std::size_t activeAccounts() const { return m_admission->activeAccounts(); }
    void setConfiguration(ConfigurationPtr configuration);
    void setMembers(const std::vector<Member> &members) { m_admission->setMembers(members); }
    /// Sets the service whose server runs on this host, i.e. the origin of the calls that it makes.
    void setHostService(ServiceName service) { m_origin.hostService = std::move(service); }
    /// Sets who learns of calls; null for nobody.
    void setCallDemand(ICallDemand *demand) { m_demand = demand; }
    /// Refuses new requests of callers from now on. Calls of upstreams are still accepted, unless
    /// they usually last beyond `end`.
    void startDraining(TimePoint end);
    /// Ends all requests at once, the last step before the exit: those that may have run are
    /// answered as unknown. Further ones are refused.
    void endRequests();
    /// Number of requests that are being served, including calls of upstreams.
    std::size_t requestCount() const { return m_requestCount; }
    /// Number of these that are requests of callers.
    std::size_t callerCount() const { return m_callerCount; }

    /// Returns whether a request may run together with others of its connection; false if no rule
    /// matches it.
    bool isIdempotent(const HttpRequest &request) const;
    /// Returns whether a rule of the configuration covers the request.
    bool hasRule(const HttpRequest &request) const;
    /// Handles a request of a caller and returns its answer. Runs in a fiber of the connection.
    HttpResponse handleCaller(IHttpExchange &exchange);
    /// Handles a call that an upstream on this host makes; otherwise as `handleCaller`.
    HttpResponse handleUpstream(IHttpExchange &exchange);

private:
    const RuleSpec *findRule(const HttpRequest &request) const;

    /// A request that was read and checked.
    struct Incoming
    {
        ServiceName service;
        /// The request that is forwarded to the upstream.
        HttpRequest request;
        RootId root;
        /// Id of this request; differs from `root` for a call that an upstream makes.
        RootId ownId;
        RuleSpec rule;
        Priority priority;
        Depth depth;
        TimePoint deadline;
        /// Time by which the answer is needed for the root request to meet its latency objective;
        /// nothing if it has none.
        std::optional<TimePoint> objective;
        /// The deadline that the caller named, not limited by the rule.
        TimePoint callerDeadline;
        CallBudgetPtr budget;
        /// Receives the usage of this request; null at depth 0.
        CallTreePtr tree;
        DemandShare admittedShare = WHOLE_DEMAND;
        /// The call during which it is made is a repeat.
        bool isRepeat = false;
        std::optional<OnceTerms> once;
        bool isSingleAttempt = false;
        /// Root admission admitted it and must be told its end.
        bool isAdmitted = false;
        std::uint32_t callerAttempt = 1;
        /// Empty if the caller has no account or it is not known.
        AccountName account;
        /// It has taken a token of the account's limit.
        bool holdsAccountToken = false;
        /// Empty until it is first needed.
        Fingerprint fingerprint;
    };
    struct ActiveRequest;
    using ActiveRequestPtr = boost::intrusive_ptr<ActiveRequest>;
    using Refusal = tl::unexpected<Rejection>;

    tl::expected<Incoming, Rejection> readRequest(IHttpExchange &exchange, bool isFromUpstream);
    static bool isFromCaller(const Incoming &incoming, bool isFromUpstream);
    Incoming makeIncoming(CallerRequest request);
    void applyContext(const std::string &token, Incoming &incoming);
    HttpResponse serve(IHttpExchange &exchange, bool isFromUpstream);
    void inferContext(ConnectionTally &tally, RequestSender sender, Incoming &incoming);
    /// Determines the account and priority of the caller. Returns a verdict if it is refused.
    std::optional<Verdict> identify(const std::optional<AccountKey> &key, Incoming &incoming);
    /// Takes a token of the account's limit. Returns a verdict if the request ends here.
    std::optional<Verdict> takeAccountToken(IHttpExchange &exchange, Incoming &incoming);
    void refundAccountToken(Incoming &incoming);
    void inherit(const CallContext &context, Incoming &incoming);
    /// Returns the objective of an inner call: the parent's, less what the parent is expected to do
    /// after it.
    std::optional<TimePoint> innerObjective(const CallContext &parent, const RuleName &rule) const;
    /// `isFromServer`: the request is known to come from the server of this host.
    bool mayStartWhileDraining(const Incoming &incoming, bool isFromServer) const;
    bool admit(Incoming &incoming);
    /// Returns how long a refused caller should wait before it retries.
    Duration retryAfterOf(const Incoming &incoming);
    static Rejection rejectAccount(const Incoming &incoming, const Verdict &verdict);
    Rejection rejectOverload(const Incoming &incoming, Duration lag);
    static RootTarget targetOf(const Incoming &incoming);
    /// As `targetOf`, with the claim of the account.
    RootTarget claimingTargetOf(const Incoming &incoming) const;
    static Rejection reject(const EarlyRefusal &refusal);
    Rejection rejectBelowFloor(const Incoming &incoming);
    /// Returns whether the request may have crashed servers.
    Assessment assess(Incoming &incoming) const;
    const Fingerprint &fingerprintOf(Incoming &incoming) const;
    Rejection rejectSuspect(const Incoming &incoming, const Assessment &assessment) const;
    void recordUsage(const ActiveRequest &active, const AttemptAnswer &answer);
    /// Reports the end of a request to root admission, if that had admitted it.
    void reportEnd(const ActiveRequest &active);
    Rank rankOf(const Incoming &incoming) const;
    HttpResponse runRequest(IHttpExchange &exchange, Incoming incoming);
    void perform(const ActiveRequestPtr &active, const EntryActions &actions);
    void sendAttempt(const ActiveRequestPtr &active, const EntryAction &action);
    void onAnswer(const ActiveRequestPtr &active, AttemptIndex attempt, AttemptAnswer answer);
    void armTimer(const ActiveRequestPtr &active);
    RequestFacts factsOf(const Incoming &incoming) const;
    RequestResult resultOf(const ActiveRequest &active) const;
    /// Answers, counts and logs a request that is not routed.
    HttpResponse refuse(Rejection rejection, bool isFromUpstream);
    HttpResponse compose(const ActiveRequest &active) const;

    IEventLoop &m_loop;
    const IRequestDialect &m_dialect;
    EntryPolicies m_policies;
    std::unique_ptr<IWeightedSplit> m_split;
    std::unique_ptr<IRootAdmission> m_admission;
    ICallSender &m_sender;
    IGateService &m_gates;
    IQuarantine &m_quarantine;
    IAccounts &m_accounts;
    Observers m_observers;
    EntryRecorder m_recorder;
    EntryOptions m_options;
    ICallDemand *m_demand = nullptr;
    LoopLag m_lag;
    ProcessorGuard m_guard;
    NoticeStore m_notices;
    /// Times from an inner call to its answer.
    ServiceTimes m_innerTimes;
    ConfigurationPtr m_configuration;
    /// Highest priority of all rules.
    Priority m_highestPriority;
    RequestOrigin m_origin;
    std::size_t m_requestCount = 0;
    std::size_t m_callerCount = 0;
    bool m_isDraining = false;
    /// End of all requests, once draining.
    TimePoint m_endsAt = TimePoint::max();
    bool m_hasEndedRequests = false;
    UnansweredRequests m_unanswered;
};

} // namespace ivyspar
