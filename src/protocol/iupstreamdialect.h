#pragma once

#include <string>

#include "coordination/upstreams/responsenotice.h"
#include "coordination/upstreams/statedload.h"
#include "state/http.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// One send of a call to an upstream.
struct UpstreamSend
{
    /// Token that the upstream copies into the calls that it makes for this one.
    std::string context;
    /// Time left until the caller's deadline.
    Duration remaining{ 0 };
    /// Instance id of the upstream's run that is to process the call; empty if it has none.
    UpstreamId instance;
    /// The caller's client account; empty if it has none or it is not known.
    AccountName account;
};

/// What an upstream's response says about the call.
enum class UpstreamResponseKind {
    Ran,
    Refused, ///< The upstream reports that it did not start the call.
    Broken, ///< Not a valid response of an upstream; the call may have run.
    OtherInstance, ///< Another run of an upstream has this address; the call was not started.
};

/// Encodes calls for upstreams and decodes their responses. Makes no decisions.
class IUpstreamDialect
{
public:
    virtual ~IUpstreamDialect() = default;

    /// Adds the headers for the upstream. Headers of these names that the caller sent have already
    /// been removed.
    virtual void prepareRequest(const UpstreamSend &send, HttpRequest &request) const = 0;
    virtual UpstreamResponseKind classify(const HttpResponse &response) const = 0;
    /// Removes headers that must not reach the caller.
    virtual void removeInternalHeaders(HttpResponse &response) const = 0;
    /// The load that the upstream states in a final response.
    virtual LoadStatement readLoad(const HttpResponse &response) const = 0;
    /// What the upstream states about itself in a final response.
    virtual ResponseNotice readNotice(const HttpResponse &response) const = 0;
    /// Name of the header that an upstream copies from the request into its response; empty if
    /// there is none.
    virtual std::string echoHeader() const = 0;
    /// Instance id of the upstream's run that responded to a health check; empty if not reported.
    virtual UpstreamId readInstance(const HttpResponse &response) const = 0;
};

} // namespace ivyspar
