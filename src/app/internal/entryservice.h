#pragma once

#include <optional>
#include <string>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "app/internal/icallsender.h"
#include "app/internal/igateservice.h"
#include "app/internal/observers.h"
#include "coordination/calls/internal/entrycall.h"
#include "state/configuration.h"
#include "transport/ieventloop.h"
#include "transport/ihttpserver.h"

namespace ivyspar {

struct EntryOptions
{
    /// Requests that may be in work here at a time.
    std::size_t maxRequests = 20000;
    /// Longest `Idempotency-Key` in bytes.
    std::size_t maxKeyBytes = 200;
    /// Off, for measurements: each call of an upstream starts a budget of its own.
    bool hasSharedBudget = true;
};

/// Takes requests of callers, and calls of the upstreams on this host, and sees each to its answer.
/// Traffic thread only.
class EntryService
{
public:
    EntryService(IEventLoop &loop, EntryPolicies policies, ICallSender &sender, IGateService &gates,
                 Observers observers, EntryOptions options);

    void setConfiguration(ConfigurationPtr configuration)
    {
        m_configuration = std::move(configuration);
    }
    /// Refuses new requests of callers from now on; calls of upstreams for running requests go on.
    void startDraining() { m_isDraining = true; }
    std::size_t requestCount() const { return m_requestCount; }

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
        RuleSpec rule;
        Priority priority;
        Depth depth;
        TimePoint deadline;
        CallLedgerPtr ledger;
        std::optional<OnceTerms> once;
        bool isSingleAttempt = false;
        std::uint32_t callerAttempt = 1;
    };
    struct Run;
    using RunPtr = boost::intrusive_ptr<Run>;
    /// A request that is answered without being routed.
    struct EarlyRefusal
    {
        RootId root;
        Verdict verdict;
    };
    using Refusal = tl::unexpected<EarlyRefusal>;

    tl::expected<Incoming, EarlyRefusal> readRequest(const HttpRequest &request,
                                                     bool isFromUpstream);
    tl::expected<Incoming, EarlyRefusal> readTarget(const HttpRequest &request);
    Ret readCallerTerms(const HttpRequest &request, Incoming &incoming);
    void applyContext(const HttpRequest &request, Incoming &incoming);
    HttpResponse serve(IHttpExchange &exchange, bool isFromUpstream);
    HttpResponse runRequest(IHttpExchange &exchange, Incoming incoming);
    void perform(const RunPtr &run, const EntryActions &actions);
    void sendAttempt(const RunPtr &run, const EntryAction &action);
    void onAnswer(const RunPtr &run, AttemptIndex attempt, AttemptAnswer answer);
    void armTimer(const RunPtr &run);
    void recordAttempt(const Run &run, const EntryAction &action);
    void recordEnd(const Run &run);
    /// Answers, counts and logs a request that is not routed.
    HttpResponse refuse(const EarlyRefusal &refusal, bool isFromUpstream);
    HttpResponse compose(const Run &run) const;

    IEventLoop &m_loop;
    EntryPolicies m_policies;
    ICallSender &m_sender;
    IGateService &m_gates;
    Observers m_observers;
    EntryOptions m_options;
    ConfigurationPtr m_configuration;
    std::size_t m_requestCount = 0;
    bool m_isDraining = false;
};

} // namespace ivyspar
