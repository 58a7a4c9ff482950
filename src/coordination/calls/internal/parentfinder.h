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
    ParentMatch find(TimePoint now, ConnectionTally &tally, const RuleName &rule,
                     TimePoint deadline, RequestSender sender) override;
    bool isServerBusy(TimePoint now) const override;
    std::optional<CallId> findRunning(const RuleName &rule) const override;
    void onInnerAnswer(TimePoint now, const RuleName &rule) override;

private:
    struct RunningCall
    {
        CallId call;
        RuleName rule;
        /// Inner calls that were given to it by a guess.
        std::uint32_t guessedInnerCalls = 0;
    };
    using RunningCalls = std::multimap<TimePoint, RunningCall>;
    /// That calls of one rule make such requests.
    struct ParentEvidence
    {
        double count = 0;
        /// Of the rule's calls, those that end right after such a request was answered.
        double share = 0;
    };
    struct RuleStats
    {
        /// Share of the rule's requests that came over connections of the server.
        double share = 0;
        bool isKnown = false;
        /// By rules that may be parents.
        std::map<RuleName, ParentEvidence> evidence;
    };

    bool hasPossibleParent(TimePoint deadline) const;
    static void count(ConnectionTally &tally, bool hasMatch, bool isPossible);
    /// Whether the server of this host made the request.
    bool isFromServer(const ConnectionTally &tally, RuleStats &stats) const;
    bool hasInheritedDeadlines(const ConnectionTally &tally) const;
    bool isServerConnection(const ConnectionTally &tally) const;
    bool isPossibleParent(const RuleStats &stats, const RuleName &rule) const;
    RunningCall *findByDeadline(TimePoint deadline);
    /// A running call that ends later and may have made the request.
    RunningCall *findByEvidence(const RuleStats &stats, TimePoint deadline);
    void dropOldAnswers(TimePoint now);
    /// A call of `parent` ended right after an answer to `inner`; empty if after none.
    void learnParent(const RuleName &parent, const RuleName &answered);

    ParentFinderOptions m_options;
    RunningCalls m_running;
    std::unordered_map<CallId, RunningCalls::iterator> m_byCall;
    std::optional<TimePoint> m_lastEndAt;
    std::unordered_map<RuleName, RuleStats> m_rules;
    /// Answers to inner calls on which no server has gone on yet.
    std::deque<std::pair<TimePoint, RuleName>> m_answers;
};

} // namespace ivyspar
