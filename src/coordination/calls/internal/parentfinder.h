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
        /// Inner calls attributed to it by evidence rather than by deadline.
        std::uint32_t guessedInnerCalls = 0;
    };
    using RunningCalls = std::multimap<TimePoint, RunningCall>;
    /// Evidence that calls of one rule make such requests.
    struct ParentEvidence
    {
        double count = 0;
        /// Share of the rule's calls that end right after such a request was answered.
        double share = 0;
    };
    struct RuleStats
    {
        /// Share of the rule's requests that came over connections of the server.
        double share = 0;
        bool isKnown = false;
        /// By parent rule.
        std::map<RuleName, ParentEvidence> evidence;
    };

    bool hasPossibleParent(TimePoint deadline) const;
    static void count(ConnectionTally &tally, bool hasMatch, bool isPossible);
    /// Whether the server of this host made the request; updates the share of its rule.
    bool isFromServer(const ConnectionTally &tally, RuleStats &stats) const;
    bool hasInheritedDeadlines(const ConnectionTally &tally) const;
    bool isServerConnection(const ConnectionTally &tally) const;
    bool isPossibleParent(const RuleStats &stats, const RuleName &rule) const;
    /// The running call whose deadline matches best.
    RunningCall *findByDeadline(TimePoint deadline);
    /// A running call with a later deadline whose rule probably makes such requests.
    RunningCall *findByEvidence(const RuleStats &stats, TimePoint deadline);
    void dropOldAnswers(TimePoint now);
    /// A call of `parent` ended right after `answered` was answered; empty if after no answer.
    void learnParent(const RuleName &parent, const RuleName &answered);

    ParentFinderOptions m_options;
    RunningCalls m_running;
    std::unordered_map<CallId, RunningCalls::iterator> m_byCall;
    std::optional<TimePoint> m_lastEndAt;
    std::unordered_map<RuleName, RuleStats> m_rules;
    /// Answers to inner calls after which no server has continued yet.
    std::deque<std::pair<TimePoint, RuleName>> m_answers;
};

} // namespace ivyspar
