#include "standins/history/trial.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "standins/deployment/blockinghttp.h"
#include "standins/graph/trials.h"

namespace ivyspar::lab {

namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

constexpr Duration PATIENCE = seconds(30);
constexpr Duration CONTROL_TIMEOUT = seconds(5);
constexpr Duration POLL = std::chrono::milliseconds(10);
constexpr std::uint16_t OK = 200;
constexpr std::uint32_t MANY_ATTEMPTS = 60;

bool isGood(const RetVal<HttpResponse> &answer)
{
    return answer && answer->status < 300;
}

} // namespace

bool waitUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + PATIENCE;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(POLL);
    }
    return condition();
}

Trial::Trial(TrialOptions options)
    : m_options(std::move(options))
{
    char folder[] = "/tmp/ivyspar-trial-XXXXXX";
    m_folder = mkdtemp(folder);
    std::ofstream(m_folder + "/inventory.toml") << makeTrialInventory(m_options.graph);
    std::ofstream(m_folder + "/rules.toml") << makeTrialRules(m_options.graph);
    DeploymentOptions deployment;
    deployment.binary = m_options.binary;
    deployment.labBinary = m_options.labBinary;
    deployment.folder = m_folder;
    deployment.inventoryFile = m_folder + "/inventory.toml";
    deployment.rulesFile = m_folder + "/rules.toml";
    deployment.daemonFlags = m_options.daemonFlags;
    deployment.upstreamFlags = m_options.upstreamFlags;
    deployment.hasLog = m_options.hasLog;
    deployment.hasLinks = m_options.hasLinks;
    m_deployment = std::make_unique<Deployment>(std::move(deployment), m_options.graph);
    m_callers = std::make_unique<HistoryCaller>();
}

Trial::~Trial()
{
    // Whatever state a failed check left behind ends here, frozen processes included.
    m_deployment->killAll();
    m_deployment.reset();
    m_callers.reset();
    std::filesystem::remove_all(m_folder);
}

bool Trial::start(std::string &error)
{
    return m_deployment->start(error);
}

CallerPlan Trial::plan(const GraphCall &call, const std::string &token, std::size_t firstEntry)
{
    CallerPlan plan;
    plan.call = call;
    plan.token = token;
    plan.entries = m_deployment->callerEndpoints();
    const auto first = static_cast<std::ptrdiff_t>(firstEntry % plan.entries.size());
    std::rotate(plan.entries.begin(), plan.entries.begin() + first, plan.entries.end());
    return plan;
}

CallerPlan Trial::planOnce(const std::string &token, std::size_t firstEntry)
{
    CallerPlan once = plan({ "desk", "POST", "/bookings" }, token, firstEntry);
    once.key = "key-" + token;
    once.isOnce = true;
    once.attempts = MANY_ATTEMPTS;
    once.isRepeatingUnknown = true;
    return once;
}

bool Trial::setLogFaults(const std::string &json)
{
    return isGood(exchangeBlocking(m_deployment->logEndpoint(), { "POST", "/faults", {}, json },
                                   CONTROL_TIMEOUT));
}

bool Trial::control(const std::string &target, const std::string &body)
{
    return isGood(exchangeBlocking(m_deployment->upstreamControl(), { "POST", target, {}, body },
                                   CONTROL_TIMEOUT));
}

bool Trial::setBehaviour(const std::string &server, const std::string &json)
{
    return control(server.empty() ? "/behaviour" : "/behaviour?server=" + server, json);
}

bool Trial::crash(const std::string &server)
{
    return control("/crash?server=" + server, "");
}

std::uint32_t Trial::crashCount()
{
    const auto answer = exchangeBlocking(m_deployment->upstreamControl(),
                                         { "GET", "/crashes", {}, {} }, CONTROL_TIMEOUT);
    return answer ? static_cast<std::uint32_t>(std::strtoul(answer->body.c_str(), nullptr, 10)) : 0;
}

std::vector<std::string> Trial::noticeViolations()
{
    const auto answer = exchangeBlocking(m_deployment->upstreamControl(),
                                         { "GET", "/notice-violations", {}, {} }, CONTROL_TIMEOUT);
    if (!answer) {
        return { "the servers' control does not answer" };
    }
    std::vector<std::string> violations;
    std::istringstream lines(answer->body);
    for (std::string line; std::getline(lines, line);) {
        violations.push_back(line);
    }
    return violations;
}

std::uint64_t Trial::arrivalCount(const std::string &server)
{
    const auto answer = exchangeBlocking(m_deployment->upstreamControl(),
                                         { "GET", "/arrivals", {}, {} }, CONTROL_TIMEOUT);
    std::istringstream lines(answer ? answer->body.text() : std::string());
    std::string name;
    for (std::uint64_t count = 0; lines >> name >> count;) {
        if (name == server) {
            return count;
        }
    }
    return 0;
}

std::vector<StartedWork> Trial::starts()
{
    const auto answer = exchangeBlocking(m_deployment->upstreamControl(),
                                         { "GET", "/starts", {}, {} }, CONTROL_TIMEOUT);
    std::vector<StartedWork> starts;
    std::istringstream lines(answer ? answer->body.text() : std::string());
    StartedWork start;
    while (lines >> start.server >> start.service >> start.path >> start.token) {
        starts.push_back(start);
    }
    return starts;
}

std::uint32_t Trial::startCount(const std::string &token)
{
    const std::vector<StartedWork> all = starts();
    return static_cast<std::uint32_t>(std::count_if(
        all.begin(), all.end(), [&](const StartedWork &start) { return start.token == token; }));
}

std::uint64_t Trial::statusNumber(std::size_t index, const std::string &key)
{
    const auto answer =
        exchangeBlocking(host(index).operators, { "GET", "/status", {}, {} }, CONTROL_TIMEOUT);
    const Json status = answer ? Json::parse(answer->body, nullptr, false) : Json();
    return status.is_object() ? status.value(key, std::uint64_t(0)) : 0;
}

History Trial::history()
{
    m_callers->waitForAll();
    History history;
    history.actions = m_callers->actions();
    history.starts = starts();
    return history;
}

bool Trial::isServingAgain(const std::string &tokenPrefix)
{
    std::uint32_t tries = 0;
    for (std::size_t i = 0; i < m_deployment->hosts().size(); ++i) {
        const bool isServing = waitUntil([&] {
            const std::string token = tokenPrefix + '-' + std::to_string(++tries);
            CallerPlan probe = planOnce(token);
            probe.attempts = 1;
            probe.entries = { host(i).caller };
            m_callers->send(probe);
            m_callers->waitForAll();
            const CallerAction last = m_callers->actions().back();
            return last.token == token && last.attempts.back().status == OK;
        });
        if (!isServing) {
            return false;
        }
    }
    return true;
}

} // namespace ivyspar::lab
