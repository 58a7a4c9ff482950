#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "app/internal/accounts/iaccounts.h"
#include "app/internal/entry/entryrecorder.h"
#include "app/internal/entry/icallsender.h"
#include "app/internal/gate/igateservice.h"
#include "app/internal/logs/observers.h"
#include "app/internal/looplag.h"
#include "app/internal/quarantine/iquarantine.h"
#include "coordination/admission/irootadmission.h"
#include "coordination/admission/processorguard.h"
#include "coordination/calls/internal/entrycall.h"
#include "coordination/routing/iweightedsplit.h"
#include "protocol/irequestdialect.h"
#include "state/configuration.h"
#include "transport/ieventloop.h"
#include "transport/ihttpserver.h"

namespace ivyspar {

struct EntryOptions
{
    /// Requests that may be in work here at a time.
    std::size_t maxRequests = 20000;
    /// Off, for measurements: each call of an upstream starts a budget of its own.
    bool hasSharedBudget = true;
    /// Requests are let in by what their whole call tree costs, and calls of requests that were let
    /// in go before others.
    bool hasRootAdmission = false;
    RootAdmissionOptions admission;
    /// What arrives is taken for as old as the loop is late, and refused when it is too late.
    bool compensatesLoopLag = false;
    /// Calls of upstreams arrive together with requests of callers and name no context.
    bool infersParents = false;
};

/// Takes requests of callers, and calls of the upstreams on this host, and sees each to its answer.
/// Traffic thread only.
class EntryService
{
public:
    EntryService(IEventLoop &loop, const IRequestDialect &dialect, EntryPolicies policies,
                 ICallSender &sender, IGateService &gates, IQuarantine &quarantine,
                 IAccounts &accounts, Observers observers, EntryOptions options);

    void setConfiguration(ConfigurationPtr configuration);
    void setMembers(const std::vector<Member> &members) { m_admission->setMembers(members); }
    /// Whose server runs on this host, and so where requests that arrive here come from.
    void setHostService(ServiceName service) { m_origin.hostService = std::move(service); }
    /// Refuses new requests of callers from now on; calls of upstreams for running requests go on.
    void startDraining() { m_isDraining = true; }
    std::size_t requestCount() const { return m_requestCount; }
    /// Of these, requests of callers.
    std::size_t callerCount() const { return m_callerCount; }

    /// A caller's request. Runs in the connection's fiber.
    HttpResponse handleCaller(IHttpExchange &exchange);
    /// A call that an upstream on this host makes.
    HttpResponse handleUpstream(IHttpExchange &exchange);

private:
    /// A request as it came in, checked.
    struct Incoming
    {
        ServiceName service;
        /// What the upstream receives.
        HttpRequest request;
        RootId root;
        /// As it came: for a call of an upstream another one than `root`.
        RootId ownId;
        RuleSpec rule;
        Priority priority;
        Depth depth;
        TimePoint deadline;
        /// As the caller named it, whatever the rule allows.
        TimePoint callerDeadline;
        CallBudgetPtr budget;
        /// Where the cost of this request is booked; null at depth 0.
        CallTreePtr tree;
        DemandShare letIn = WHOLE_DEMAND;
        /// The call that makes it is a repeat.
        bool isRepeat = false;
        std::optional<OnceTerms> once;
        bool isSingleAttempt = false;
        /// Root admission let it in and waits for its end.
        bool isAdmitted = false;
        std::uint32_t callerAttempt = 1;
        /// Empty if the caller has none or it is not known.
        AccountName account;
        /// It took a unit of the account's limit.
        bool holdsQuotaUnit = false;
        /// Empty until it is asked for.
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
    /// Who the caller is, and with which priority. A verdict if it may not come in.
    std::optional<Verdict> identify(const std::optional<AccountKey> &key, Incoming &incoming);
    /// Takes a unit of the account's limit. A verdict if the request is not to go on.
    std::optional<Verdict> takeQuotaUnit(IHttpExchange &exchange, Incoming &incoming);
    void returnQuotaUnit(Incoming &incoming);
    void inherit(const CallContext &context, Incoming &incoming);
    bool admit(Incoming &incoming);
    /// When a caller that is refused is to come back.
    Duration retryAfterOf(const Incoming &incoming);
    static Rejection rejectAccount(const Incoming &incoming, const Verdict &verdict);
    Rejection rejectOverload(const Incoming &incoming, Duration lag);
    static RootTarget targetOf(const Incoming &incoming);
    static Rejection reject(const EarlyRefusal &refusal);
    Rejection rejectBelowFloor(const Incoming &incoming);
    /// Whether the request may have crashed servers.
    Standing standingOf(Incoming &incoming) const;
    const Fingerprint &fingerprintOf(Incoming &incoming) const;
    Rejection rejectSuspect(const Incoming &incoming, const Standing &standing) const;
    void recordUsage(const ActiveRequest &active, const AttemptAnswer &answer);
    /// Tells root admission that a request which it let in is over.
    void reportEnd(const ActiveRequest &active);
    Rank rankOf(const Incoming &incoming) const;
    HttpResponse runRequest(IHttpExchange &exchange, Incoming incoming);
    void perform(const ActiveRequestPtr &active, const EntryActions &actions);
    void sendAttempt(const ActiveRequestPtr &active, const EntryAction &action);
    void onAnswer(const ActiveRequestPtr &active, AttemptIndex attempt, AttemptAnswer answer);
    void armTimer(const ActiveRequestPtr &active);
    RequestFacts factsOf(const Incoming &incoming) const;
    RequestEnd endOf(const ActiveRequest &active) const;
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
    LoopLag m_lag;
    ProcessorGuard m_guard;
    ConfigurationPtr m_configuration;
    /// Priority of the most important rule.
    Priority m_highestPriority;
    RequestOrigin m_origin;
    std::size_t m_requestCount = 0;
    std::size_t m_callerCount = 0;
    bool m_isDraining = false;
};

} // namespace ivyspar
