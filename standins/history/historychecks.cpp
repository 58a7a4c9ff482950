#include "standins/history/historychecks.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace ivyspar::lab {

namespace {

constexpr std::uint16_t OK = 200;

using Counts = std::unordered_map<std::string, std::uint32_t>;

Counts countTokens(const History &history)
{
    Counts counts;
    for (const StartedWork &start : history.starts) {
        ++counts[start.token];
    }
    return counts;
}

/// Starts of the called request itself, without the calls below it.
Counts countRoots(const History &history)
{
    Counts counts;
    std::unordered_map<std::string, const GraphCall *> calls;
    for (const CallerAction &action : history.actions) {
        calls[action.token] = &action.call;
    }
    for (const StartedWork &start : history.starts) {
        const auto found = calls.find(start.token);
        if (found != calls.end() && found->second->service == start.service
            && found->second->path == start.path) {
            ++counts[start.token];
        }
    }
    return counts;
}

std::uint32_t valueOf(const Counts &counts, const std::string &token)
{
    const auto found = counts.find(token);
    return found == counts.end() ? 0 : found->second;
}

bool isNotRun(const CallerAttempt &attempt)
{
    return attempt.told == Told::NotRun;
}

} // namespace

std::uint32_t countStarts(const History &history, const std::string &token)
{
    return valueOf(countTokens(history), token);
}

Violations checkBudget(const History &history)
{
    Violations violations;
    const Counts counts = countTokens(history);
    for (const CallerAction &action : history.actions) {
        const std::uint32_t count = valueOf(counts, action.token);
        if (action.budget > 0 && count > action.budget) {
            violations.push_back(action.token + " started " + std::to_string(count)
                                 + " times, more than " + std::to_string(action.budget));
        }
    }
    return violations;
}

Violations checkNotRun(const History &history)
{
    Violations violations;
    const Counts counts = countTokens(history);
    for (const CallerAction &action : history.actions) {
        const bool isToldNotRun =
            std::all_of(action.attempts.begin(), action.attempts.end(), isNotRun);
        const std::uint32_t count = valueOf(counts, action.token);
        if (isToldNotRun && count > 0) {
            violations.push_back(action.token + " was told not run ("
                                 + (action.attempts.empty() ? "" : action.attempts.back().reason)
                                 + ") and started " + std::to_string(count) + " times");
        }
    }
    return violations;
}

Violations checkOnce(const History &history)
{
    Violations violations;
    const Counts counts = countRoots(history);
    for (const CallerAction &action : history.actions) {
        const std::uint32_t count = valueOf(counts, action.token);
        if (action.isOnce && count > 1) {
            violations.push_back(action.token + " must run at most once and ran "
                                 + std::to_string(count) + " times");
        }
    }
    return violations;
}

Violations checkAnswers(const History &history, const CallGraph &graph)
{
    Violations violations;
    const Counts counts = countRoots(history);
    for (const CallerAction &action : history.actions) {
        for (const CallerAttempt &attempt : action.attempts) {
            if (attempt.told != Told::Answered || attempt.status != OK) {
                continue;
            }
            if (attempt.body != wholeAnswer(graph, action.call, action.token)) {
                violations.push_back(action.token + " got another answer: " + attempt.body);
            }
            if (valueOf(counts, action.token) == 0) {
                violations.push_back(action.token + " was answered and never ran");
            }
        }
    }
    return violations;
}

Violations checkVersions(const History &history)
{
    Violations violations;
    for (const auto &[daemon, versions] : history.versions) {
        const auto back = std::is_sorted_until(versions.begin(), versions.end());
        if (back != versions.end()) {
            violations.push_back(daemon + " went back from version "
                                 + std::to_string(*std::prev(back)) + " to "
                                 + std::to_string(*back));
        }
    }
    return violations;
}

Violations checkAccused(const History &history, const std::string &crasher)
{
    Violations violations;
    for (const CallerAction &action : history.actions) {
        const bool isAccused =
            std::any_of(action.attempts.begin(), action.attempts.end(),
                        [](const CallerAttempt &each) { return each.reason == "quarantined"; });
        if (isAccused && action.token != crasher) {
            violations.push_back(action.token + " was quarantined and crashed nothing");
        }
    }
    return violations;
}

Violations checkAll(const History &history, const CallGraph &graph)
{
    Violations all;
    for (Violations part : { checkBudget(history), checkNotRun(history), checkOnce(history),
                             checkAnswers(history, graph), checkVersions(history) }) {
        std::move(part.begin(), part.end(), std::back_inserter(all));
    }
    return all;
}

std::string join(const Violations &violations)
{
    std::string text;
    for (const std::string &violation : violations) {
        text += violation + '\n';
    }
    return text;
}

} // namespace ivyspar::lab
