#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "standins/deployment/deployment.h"
#include "standins/history/history.h"
#include "standins/history/historycaller.h"

namespace ivyspar::lab {

struct TrialOptions
{
    std::string binary;
    std::string labBinary;
    CallGraph graph;
    std::vector<std::string> daemonFlags;
    std::vector<std::string> upstreamFlags;
    bool hasLog = true;
    bool hasLinks = false;
};

/// Polls until the condition holds; false when it did not for a long time.
bool waitUntil(const std::function<bool()> &condition);

/// A small deployment of real processes with callers, whose history is recorded. Everything ends
/// with this object.
class Trial
{
public:
    explicit Trial(TrialOptions options);
    ~Trial();

    /// On failure says in `error` what is missing.
    bool start(std::string &error);

    Deployment &deployment() { return *m_deployment; }
    DeployedHost &host(std::size_t index) { return m_deployment->hosts().at(index); }
    HistoryCaller &callers() { return *m_callers; }
    const CallGraph &graph() const { return m_options.graph; }
    const std::string &folder() const { return m_folder; }

    /// A plan with all daemons as entries, beginning with the one of that index.
    CallerPlan plan(const GraphCall &call, const std::string &token, std::size_t firstEntry = 0);
    /// The same with the token as idempotency key, repeated until it is answered.
    CallerPlan planOnce(const std::string &token, std::size_t firstEntry = 0);

    /// Faults as in logfaultscodec.h.
    bool setLogFaults(const std::string &json);
    /// Behaviour of one server, or, with an empty name, of all.
    bool setBehaviour(const std::string &server, const std::string &json);
    /// The server ends as a process that crashes, and comes back.
    bool crash(const std::string &server);
    /// Crashes of all servers so far.
    std::uint32_t crashCount();
    /// A line for each time that a server got more than it had stated.
    std::vector<std::string> noticeViolations();
    /// Requests that arrived at the server so far.
    std::uint64_t arrivalCount(const std::string &server);
    /// Work started so far.
    std::vector<StartedWork> starts();
    std::uint32_t startCount(const std::string &token);
    /// A number of a daemon's `/status`; 0 when there is no answer.
    std::uint64_t statusNumber(std::size_t host, const std::string &key);
    /// Waits for all callers.
    History history();
    /// Serves one request at each daemon; true when all are answered within the time of
    /// `waitUntil`.
    bool isServingAgain(const std::string &tokenPrefix);

private:
    bool control(const std::string &target, const std::string &body);

    TrialOptions m_options;
    std::string m_folder;
    std::unique_ptr<Deployment> m_deployment;
    std::unique_ptr<HistoryCaller> m_callers;
};

} // namespace ivyspar::lab
