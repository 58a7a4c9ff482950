#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "protocol/messages.h"
#include "state/configuration.h"
#include "state/http.h"
#include "state/ids.h"
#include "state/outcome.h"
#include "state/result.h"
#include "state/time.h"

namespace ivyspar {

/// A caller's request, decoded.
struct CallerRequest
{
    /// 0 if the request has no valid id.
    RootId root;
    /// Points into the configuration that the request was read with.
    const RuleSpec *rule = nullptr;
    /// The request for the upstream, without the headers that are added at each attempt.
    HttpRequest forwarded;
    /// Time until the deadline: the caller's, at most the rule's.
    Duration wait{ 0 };
    /// Time until the caller's own deadline, which may be longer than `wait`; the rule's if the
    /// caller sets none.
    Duration callerWait{ 0 };
    /// How many times the caller has sent this request, this one included.
    std::uint32_t callerAttempt = 1;
    std::optional<OnceTerms> once;
    /// Token of the call during which an upstream made this request; empty if there is none.
    std::string context;
    /// Key of the caller's client account, if the request has one. Not part of `forwarded`.
    std::optional<AccountKey> key;
};

/// Origin of a request.
struct RequestOrigin
{
    /// The service whose server runs on this host; empty if it is not known.
    ServiceName hostService;
};

/// Refusal of a request before it is routed.
struct EarlyRefusal
{
    RootId root;
    Verdict verdict;
};

/// Decodes the requests of callers and encodes what they are told. Makes no decisions.
class IRequestDialect
{
public:
    virtual ~IRequestDialect() = default;

    /// Returns the rule that covers the request; null if there is none.
    virtual const RuleSpec *findRule(const HttpRequest &request,
                                     const Configuration &configuration) const = 0;
    /// `configuration` may be null. The refusal's verdict has the reason.
    virtual tl::expected<CallerRequest, EarlyRefusal>
    read(const HttpRequest &request, const RequestOrigin &origin,
         const Configuration *configuration) const = 0;
    /// The response to a request that got none from an upstream.
    virtual HttpResponse makeRefusal(RootId root, const Verdict &verdict,
                                     std::uint32_t attempts) const = 0;
    /// Adds headers with the outcome for the caller to an upstream's response.
    virtual void addResultHeaders(RootId root, std::uint32_t attempts,
                                  HttpResponse &response) const = 0;
};

} // namespace ivyspar
