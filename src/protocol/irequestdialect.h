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

/// What a caller's request says, in the product's terms.
struct CallerRequest
{
    /// 0 when the request has no id of its own.
    RootId root;
    /// Points into the configuration that the request was read with.
    const RuleSpec *rule = nullptr;
    /// What the upstream receives, but for what is added at each attempt.
    HttpRequest forwarded;
    /// How long the caller waits, as far as the rule allows.
    Duration wait{ 0 };
    /// How long the caller itself says it waits; the rule's time if it does not say.
    Duration callerWait{ 0 };
    /// From 1: how often the caller has sent this request.
    std::uint32_t callerAttempt = 1;
    std::optional<OnceTerms> once;
    /// Token of the call during which an upstream made this one; empty if there is none.
    std::string context;
    /// Key of the caller's account, if the caller showed one. Not part of `forwarded`.
    std::optional<AccountKey> key;
};

/// Where a request comes from.
struct RequestOrigin
{
    /// The service whose server runs on this host; empty if it is not known.
    ServiceName hostService;
};

/// A request that is answered without being routed.
struct EarlyRefusal
{
    RootId root;
    Verdict verdict;
};

/// How callers write requests and how they are answered. Translates, decides nothing.
class IRequestDialect
{
public:
    virtual ~IRequestDialect() = default;

    /// `configuration` may be null. The refusal's verdict says what is wrong with the request.
    virtual tl::expected<CallerRequest, EarlyRefusal>
    read(const HttpRequest &request, const RequestOrigin &origin,
         const Configuration *configuration) const = 0;
    /// The answer to a request that has no upstream's answer.
    virtual HttpResponse makeRefusal(RootId root, const Verdict &verdict,
                                     std::uint32_t attempts) const = 0;
    /// Adds to an upstream's answer what callers are told besides.
    virtual void addResultHeaders(RootId root, std::uint32_t attempts,
                                  HttpResponse &response) const = 0;
};

} // namespace ivyspar
