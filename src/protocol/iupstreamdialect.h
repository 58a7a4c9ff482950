#pragma once

#include <optional>
#include <string>

#include "state/http.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// One send of a call to an upstream.
struct UpstreamSend
{
    /// Token by which calls that the upstream makes can be told to belong to this one.
    std::string context;
    /// Time left until the caller's deadline.
    Duration remaining{ 0 };
    /// The run of the upstream that is to take the call; empty if it has no name.
    UpstreamId instance;
    /// The caller's account; empty if it has none or it is not known.
    AccountName account;
};

/// What an upstream's answer says of the call.
enum class UpstreamResponseKind {
    Ran,
    Refused, ///< The upstream says that it did not start the call.
    Broken, ///< Not an answer that an upstream gives: the call may have run.
    OtherInstance, ///< Another run of an upstream has the address; the call was not started.
};

/// What an upstream says of its own load.
struct UpstreamLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// How calls are written to upstreams and their answers read. Translates, decides nothing.
class IUpstreamDialect
{
public:
    virtual ~IUpstreamDialect() = default;

    /// Whatever callers sent in the place of what is written here is gone already.
    virtual void prepareRequest(const UpstreamSend &send, HttpRequest &request) const = 0;
    virtual UpstreamResponseKind classify(const HttpResponse &response) const = 0;
    /// Removes what must not reach the caller.
    virtual void removeInternalHeaders(HttpResponse &response) const = 0;
    virtual std::optional<UpstreamLoad> readLoad(const HttpResponse &response) const = 0;
    /// Name of the header that an upstream repeats from the request; empty if there is none.
    virtual std::string echoHeader() const = 0;
    /// The run of the upstream that answered a health check; empty if it does not say.
    virtual UpstreamId readInstance(const HttpResponse &response) const = 0;
};

} // namespace ivyspar
