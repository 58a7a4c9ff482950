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
    UpstreamActions onHealth(TimePoint now, const UpstreamRun &checked,
                             const UpstreamHealth &health) override;
    UpstreamActions onContactFailure(TimePoint now, const UpstreamRun &contacted) override;
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
    /// By instance id: of the runs of an instance, the latest is kept.
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
    Runs::iterator findRun(const UpstreamRun &run);
    /// Records that the run, and all earlier ones of its instance, have ended.
    void recordEnded(const UpstreamRun &run);

    UpstreamRegistryOptions m_options;
    Runs m_runs;
    std::map<UpstreamId, UpstreamStart> m_endedRuns;
    std::deque<UpstreamId> m_endedOrder;
};

} // namespace ivyspar
