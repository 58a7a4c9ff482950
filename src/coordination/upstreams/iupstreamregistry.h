#pragma once

#include <vector>

#include "coordination/upstreams/upstreamreport.h"
#include "state/time.h"

namespace ivyspar {

enum class UpstreamVerb {
    Serve, ///< Start sending calls to the reported server, or apply its changed report.
    Stop, ///< Start no more calls at the server.
    Check, ///< Run a health check and pass its result to `onHealth`.
};

struct UpstreamAction
{
    UpstreamVerb verb = UpstreamVerb::Serve;
    UpstreamReport report;
    /// Set for `Stop` if the server announced its shutdown.
    bool isPlanned = false;
    /// Reason for the decision log; a string literal.
    const char *reason = "";
};
using UpstreamActions = std::vector<UpstreamAction>;

/// Result of a health check.
struct UpstreamHealth
{
    bool isHealthy = false;
    /// No server answered.
    bool isSilent = false;
    /// Instance id of the run that answered; empty if the answer contains none.
    UpstreamId instance;
};

/// Decides which servers of this host receive calls. Holds no clock, socket or thread.
///
/// A run is one process of a server, from its start to its end. A report is not proof of a live
/// run: it may be seconds old, its sender may have crashed, and another server may have taken over
/// the address. A daemon that is killed right after acknowledging a goodbye no longer knows of it.
/// A run therefore receives calls only after a health check has confirmed its identity and that it
/// is not shutting down. A goodbye is final, as a run never resumes. A server may restart under the
/// same instance id; a later start time identifies the new run.
class IUpstreamRegistry
{
public:
    virtual ~IUpstreamRegistry() = default;

    /// A server reported its state; stale reports are ignored.
    virtual UpstreamActions onReport(TimePoint now, const UpstreamReport &report) = 0;
    /// A health check of the run ended. Ignored if another run was reported since it began.
    virtual UpstreamActions onHealth(TimePoint now, const UpstreamRun &checked,
                                     const UpstreamHealth &health) = 0;
    /// A call reached another run or no server at all; requests a health check.
    virtual UpstreamActions onContactFailure(TimePoint now, const UpstreamRun &contacted) = 0;
    /// Requests the health checks that are due. Call at `nextTick` or later.
    virtual UpstreamActions tick(TimePoint now) = 0;
    /// Time of the next health check; `TimePoint::max()` if none is due.
    virtual TimePoint nextTick() const = 0;
};

} // namespace ivyspar
