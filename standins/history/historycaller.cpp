#include "standins/history/historycaller.h"

#include <algorithm>
#include <future>
#include <utility>

#include "protocol/headers.h"
#include "transport/transportfactory.h"

namespace ivyspar::lab {

namespace {

constexpr std::uint16_t FIRST_SERVER_ERROR = 500;
constexpr std::size_t CONNECTIONS = 2000;

Told toldOf(const HttpResponse &response)
{
    const std::string *outcome = findHeader(response.headers, headers::OUTCOME);
    if (!outcome || *outcome == "not-run") {
        return Told::NotRun;
    }
    return *outcome == "answered" ? Told::Answered : Told::Unknown;
}

bool isOver(const CallerPlan &plan, const CallerAttempt &attempt)
{
    switch (attempt.told) {
    case Told::NotRun:
        return false;
    case Told::Unknown:
        return !plan.isRepeatingUnknown;
    case Told::Answered:
        return attempt.status < FIRST_SERVER_ERROR || !plan.isRepeatingErrors;
    }
    return true;
}

} // namespace

HistoryCaller::HistoryCaller()
{
    std::promise<void> started;
    m_thread = std::thread([this, &started] {
        m_loop = makeEventLoop();
        HttpClientLimits limits;
        limits.connectionsPerEndpoint = CONNECTIONS;
        m_client = makeHttpClient(*m_loop, limits);
        started.set_value();
        m_loop->run();
        m_client.reset();
        m_loop.reset();
    });
    started.get_future().wait();
}

HistoryCaller::~HistoryCaller()
{
    waitForAll();
    m_loop->stop();
    m_thread.join();
}

void HistoryCaller::send(CallerPlan plan)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_open;
    }
    m_loop->post(
        [this, plan = std::move(plan)] { m_loop->spawn([this, plan] { perform(plan); }); });
}

void HistoryCaller::waitForAll()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_ended.wait(lock, [this] { return m_open == 0; });
}

std::vector<CallerAction> HistoryCaller::actions() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_actions;
}

std::size_t HistoryCaller::attemptCount() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::size_t count = 0;
    for (const CallerAction &action : m_actions) {
        count += action.attempts.size();
    }
    return count;
}

void HistoryCaller::perform(const CallerPlan &plan)
{
    for (std::uint32_t attempt = 1; attempt <= plan.attempts; ++attempt) {
        const CallerAttempt result = sendOnce(plan, attempt);
        record(plan, result);
        if (isOver(plan, result)) {
            break;
        }
        m_loop->sleepFor(plan.pause);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_open;
    m_ended.notify_all();
}

CallerAttempt HistoryCaller::sendOnce(const CallerPlan &plan, std::uint32_t attempt)
{
    HttpRequest request;
    request.method = plan.call.method;
    request.target = '/' + plan.call.service + plan.call.path + "?token=" + plan.token;
    request.headers.push_back({ headers::ATTEMPT, std::to_string(attempt) });
    if (plan.deadline.count() > 0) {
        request.headers.push_back({ headers::DEADLINE_MS, std::to_string(plan.deadline.count()) });
    }
    if (!plan.key.empty()) {
        request.headers.push_back({ headers::IDEMPOTENCY_KEY, plan.key });
    }
    if (!plan.ticket.empty()) {
        request.headers.push_back({ headers::TICKET, plan.ticket });
    }
    const Endpoint &entry = plan.entries[(attempt - 1) % plan.entries.size()];
    const HttpResult result = m_client->exchange(entry, request, plan.patience, nullptr);
    CallerAttempt told;
    if (!result) {
        const bool isProven = result.error().stage == HttpFailureStage::NotSent;
        told.told = isProven ? Told::NotRun : Told::Unknown;
        told.reason = result.error().text;
        return told;
    }
    const std::string *reason = findHeader(result->headers, headers::REASON);
    told.told = toldOf(*result);
    told.status = result->status;
    told.reason = reason ? *reason : "";
    told.body = result->body;
    return told;
}

void HistoryCaller::record(const CallerPlan &plan, const CallerAttempt &attempt)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto found = std::find_if(m_actions.begin(), m_actions.end(), [&](const CallerAction &action) {
        return action.token == plan.token;
    });
    if (found == m_actions.end()) {
        CallerAction action;
        action.token = plan.token;
        action.call = plan.call;
        action.isOnce = plan.isOnce;
        action.budget = plan.budget;
        found = m_actions.insert(m_actions.end(), std::move(action));
    }
    found->attempts.push_back(attempt);
}

} // namespace ivyspar::lab
