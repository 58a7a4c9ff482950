#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "standins/graph/trials.h"
#include "standins/history/historychecks.h"
#include "standins/history/trial.h"

#include <CppUTest/TestHarness.h>

namespace ivyspar::lab {

/// Base of the test groups that inject failures into a deployment of real processes.
class FailureTest : public Utest
{
public:
    void startTrial(const CallGraph &graph, const std::vector<std::string> &daemonFlags = {},
                    bool hasLog = true, bool hasLinks = false)
    {
        TrialOptions options;
        options.binary = IVYSPAR_BINARY;
        options.labBinary = IVYSPAR_LAB_BINARY;
        options.graph = graph;
        options.daemonFlags = daemonFlags;
        options.hasLog = hasLog;
        options.hasLinks = hasLinks;
        m_trial = std::make_unique<Trial>(std::move(options));
        std::string error;
        const bool isStarted = m_trial->start(error);
        CHECK_TRUE_TEXT(isStarted, error.c_str());
    }

    void checkNoViolations(const Violations &violations)
    {
        STRCMP_EQUAL("", join(violations).c_str());
    }

    /// Number of attempts with this outcome, over all actions.
    static std::size_t countTold(const History &history, Told told)
    {
        std::size_t count = 0;
        for (const CallerAction &action : history.actions) {
            for (const CallerAttempt &attempt : action.attempts) {
                count += attempt.told == told ? 1 : 0;
            }
        }
        return count;
    }

    /// Token, status and reason of each attempt with this outcome, one attempt per line.
    static std::string reasonsOf(const History &history, Told told)
    {
        std::string text;
        for (const CallerAction &action : history.actions) {
            for (const CallerAttempt &attempt : action.attempts) {
                if (attempt.told == told) {
                    text += action.token + ' ' + std::to_string(attempt.status) + ' '
                        + attempt.reason + '\n';
                }
            }
        }
        return text;
    }

    /// Number of actions whose last attempt was answered with status 200.
    static std::size_t countServed(const History &history)
    {
        std::size_t count = 0;
        for (const CallerAction &action : history.actions) {
            const CallerAttempt &last = action.attempts.back();
            count += last.told == Told::Answered && last.status == 200 ? 1 : 0;
        }
        return count;
    }

    /// Number of requests that the server has started so far.
    std::size_t startCountAt(const std::string &server)
    {
        std::size_t count = 0;
        for (const StartedWork &start : m_trial->starts()) {
            count += start.server == server ? 1 : 0;
        }
        return count;
    }

protected:
    std::unique_ptr<Trial> m_trial;

    const GraphCall m_record{ "desk", "POST", "/records" };
    const GraphCall m_page{ "desk", "GET", "/pages" };
};

} // namespace ivyspar::lab
