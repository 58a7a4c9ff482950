#pragma once

#include <deque>
#include <map>

#include "coordination/upstreams/upstreamregistryfactory.h"

namespace ivyspar {

class UpstreamRegistry : public IUpstreamRegistry
{
public:
    explicit UpstreamRegistry(const UpstreamRegistryOptions &options);

    UpstreamActions onReport(TimePoint now, const UpstreamReport &report) override;
    UpstreamActions onHealth(TimePoint now, const UpstreamId &instance,
                             const UpstreamHealth &health) override;
    UpstreamActions onContactFailure(TimePoint now, const UpstreamId &instance) override;
    UpstreamActions tick(TimePoint now) override;
    TimePoint nextTick() const override;

private:
    /// A run that has not ended.
    struct Run
    {
        UpstreamReport report;
        TimePoint lastHeardAt;
        /// Confirmed by a health check; receives calls.
        bool isServing = false;
        bool isChecking = false;
        std::uint32_t failedChecks = 0;
        TimePoint nextCheck;
    };
    using Runs = std::map<UpstreamId, Run>;

    UpstreamActions makeActions(UpstreamVerb verb, const UpstreamReport &report,
                                const char *reason) const;
    UpstreamActions requestCheck(Run &run, const char *reason);
    UpstreamActions endRun(Runs::iterator run, const char *reason);
    UpstreamActions supersede(const UpstreamReport &report);
    /// Whether the report belongs to a run that has ended or was replaced by a later one.
    bool isStale(const UpstreamReport &report) const;
    UpstreamActions addRun(TimePoint now, const UpstreamReport &report);
    UpstreamActions onLeaving(const UpstreamReport &report);
    /// Records that the run with this start time, and all earlier ones of the instance, have ended.
    void recordEnded(const UpstreamId &instance, UpstreamStart start);

    UpstreamRegistryOptions m_options;
    Runs m_runs;
    std::map<UpstreamId, UpstreamStart> m_endedRuns;
    std::deque<UpstreamId> m_endedOrder;
};

} // namespace ivyspar
