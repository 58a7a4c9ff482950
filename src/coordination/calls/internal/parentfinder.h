#pragma once

#include <map>
#include <set>
#include <unordered_map>

#include "coordination/calls/iparentfinder.h"

namespace ivyspar {

class ParentFinder : public IParentFinder
{
public:
    explicit ParentFinder(const ParentFinderOptions &options);

    void onStart(CallId call, const RuleName &rule, TimePoint deadline) override;
    void onEnd(CallId call) override;
    Parentage find(ConnectionTally &tally, const RuleName &rule, TimePoint deadline) override;

private:
    struct Run
    {
        CallId call;
        RuleName rule;
    };
    using Running = std::multimap<TimePoint, Run>;
    struct Inner
    {
        /// Share of the rule's requests that came over connections of the server.
        double share = 0;
        bool isKnown = false;
        /// Rules whose calls made such requests.
        std::set<RuleName> parents;
    };

    bool hasPossibleParent(TimePoint deadline) const;
    /// Whether the server of this host made the request.
    bool judge(const ConnectionTally &tally, Inner &inner) const;
    const Run *nearest(TimePoint deadline) const;
    /// A running call that ends later and may have made the request.
    const Run *likely(const Inner &inner, TimePoint deadline) const;

    ParentFinderOptions m_options;
    Running m_running;
    std::unordered_map<CallId, Running::iterator> m_places;
    std::unordered_map<RuleName, Inner> m_inner;
};

} // namespace ivyspar
