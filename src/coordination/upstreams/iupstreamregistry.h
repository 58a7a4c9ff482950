#pragma once

#include <vector>

#include "coordination/upstreams/upstreamreport.h"
#include "state/time.h"

namespace ivyspar {

enum class UpstreamVerb {
    Serve, ///< Calls may go to the reported server from now on.
    Stop, ///< No call may be started at the server any more.
    Check, ///< Ask the server for its health; the result is given back with `onHealth`.
};

struct UpstreamAction
{
    UpstreamVerb verb = UpstreamVerb::Serve;
    UpstreamReport report;
    /// The server itself has said that it ends.
    bool isPlanned = false;
    /// Why, for the log. Lives as long as the program.
    const char *reason = "";
};
using UpstreamActions = std::vector<UpstreamAction>;

/// The answer to a health check.
struct UpstreamHealth
{
    bool isHealthy = false;
    /// No server answered at all.
    bool isSilent = false;
    /// The run that answered; empty if it did not say.
    UpstreamId instance;
};

/// Which servers of this host may be sent calls. Plain object.
///
/// A report is only a claim: it may be seconds old, its sender may have crashed and another server
/// may have its address. And a daemon that was killed right after it acknowledged a goodbye knows
/// nothing of it. So a run of a server takes work only after it has itself confirmed, by a health
/// check, that it is this run and is not leaving; a goodbye holds for good, as runs are never
/// revived. A server may start again under its name: it is another run if it says that it began
/// later.
class IUpstreamRegistry
{
public:
    virtual ~IUpstreamRegistry() = default;

    virtual UpstreamActions onReport(TimePoint now, const UpstreamReport &report) = 0;
    virtual UpstreamActions onHealth(TimePoint now, const UpstreamId &instance,
                                     const UpstreamHealth &health) = 0;
    /// A call to the server met another run, or no server at all.
    virtual UpstreamActions onContactFailure(TimePoint now, const UpstreamId &instance) = 0;
    /// To be called at `nextTick` or later.
    virtual UpstreamActions tick(TimePoint now) = 0;
    virtual TimePoint nextTick() const = 0;
};

} // namespace ivyspar
