#pragma once

#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

#include "coordination/calls/iparentfinder.h"

namespace ivyspar {

class ParentFinder : public IParentFinder
{
public:
    explicit ParentFinder(const ParentFinderOptions &options);

    void onStart(CallId call, const RuleName &rule, TimePoint deadline) override;
    void onEnd(TimePoint now, CallId call) override;
    Parentage find(TimePoint now, ConnectionTally &tally, const RuleName &rule, TimePoint deadline,
                   RequestMaker maker) override;
    bool isServerBusy(TimePoint now) const override;
    std::optional<CallId> findRunning(const RuleName &rule) const override;
    void onInnerAnswer(TimePoint now, const RuleName &rule) override;

private:
    struct Run
    {
        CallId call;
        RuleName rule;
        /// Inner calls that were given to it by a guess.
        std::uint32_t guessed = 0;
    };
    using Running = std::multimap<TimePoint, Run>;
    /// That calls of one rule make such requests.
    struct Signs
    {
        double count = 0;
        /// Of the rule's calls, those that end right after such a request was answered.
        double share = 0;
    };
    struct Inner
    {
        /// Share of the rule's requests that came over connections of the server.
        double share = 0;
        bool isKnown = false;
        /// By rules that may be parents.
        std::map<RuleName, Signs> signs;
    };

    bool hasPossibleParent(TimePoint deadline) const;
    static void count(ConnectionTally &tally, bool isFit, bool isPossible);
    /// Whether the server of this host made the request.
    bool judge(const ConnectionTally &tally, Inner &inner) const;
    bool isFitting(const ConnectionTally &tally) const;
    bool isServers(const ConnectionTally &tally) const;
    bool isParent(const Inner &inner, const RuleName &rule) const;
    Run *nearest(TimePoint deadline);
    /// A running call that ends later and may have made the request.
    Run *likely(const Inner &inner, TimePoint deadline);
    void dropOldAnswers(TimePoint now);
    /// A call of `parent` ended right after an answer to `inner`; empty if after none.
    void learn(const RuleName &parent, const RuleName &inner);

    ParentFinderOptions m_options;
    Running m_running;
    std::unordered_map<CallId, Running::iterator> m_places;
    std::optional<TimePoint> m_lastEndAt;
    std::unordered_map<RuleName, Inner> m_inner;
    /// Answers to inner calls on which no server has gone on yet.
    std::deque<std::pair<TimePoint, RuleName>> m_answers;
};

} // namespace ivyspar
