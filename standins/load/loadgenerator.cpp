#include "standins/load/loadgenerator.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include "protocol/headers.h"
#include "state/internal/seededrandom.h"
#include "transport/transportfactory.h"

namespace ivyspar::lab {

namespace {

constexpr std::uint16_t OK = 200;
constexpr Duration END_POLL = std::chrono::milliseconds(5);
constexpr std::size_t CONNECTIONS_PER_ENTRY = 3000;

HttpClientLimits makeLimits()
{
    HttpClientLimits limits;
    limits.connectionsPerEndpoint = CONNECTIONS_PER_ENTRY;
    return limits;
}

std::string toHex(std::uint64_t value)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(value));
    return text;
}

std::uint32_t headerNumber(const HttpResponse &response, const char *name)
{
    const std::string *value = findHeader(response.headers, name);
    return value ? static_cast<std::uint32_t>(std::strtoul(value->c_str(), nullptr, 10)) : 0;
}

} // namespace

LoadGenerator::LoadGenerator(IEventLoop &loop, const CallGraph &graph, LoadPlan plan)
    : m_loop(loop)
    , m_graph(graph)
    , m_plan(std::move(plan))
    , m_random(std::make_unique<SeededRandom>(m_plan.seed))
    , m_client(makeHttpClient(loop, makeLimits()))
{
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::run()
{
    m_startedAt = m_loop.now();
    TimePoint phaseStart = m_startedAt;
    for (const LoadPhase &phase : m_plan.phases) {
        schedulePhase(phase, phaseStart);
        phaseStart += phase.length;
    }
    while (m_open > 0) {
        m_loop.sleepFor(END_POLL);
    }
}

void LoadGenerator::schedulePhase(const LoadPhase &phase, TimePoint phaseStart)
{
    const TimePoint phaseEnd = phaseStart + phase.length;
    TimePoint due = phaseStart;
    while (phase.rate > 0) {
        // Poisson arrivals.
        const double gap = -std::log(1.0 - m_random->unit()) / phase.rate;
        due += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
        if (due >= phaseEnd) {
            break;
        }
        const TimePoint now = m_loop.now();
        if (due > now) {
            m_loop.sleepFor(std::chrono::duration_cast<Duration>(due - now));
        }
        LoadRecord record;
        record.token = toHex(m_random->next());
        record.kind = pickKind(phase);
        record.intended = std::chrono::duration_cast<Duration>(due - m_startedAt);
        m_records.push_back(std::move(record));
        ++m_open;
        m_loop.spawn([this, index = m_records.size() - 1] { sendOne(index); });
    }
    const TimePoint now = m_loop.now();
    if (phaseEnd > now) {
        m_loop.sleepFor(std::chrono::duration_cast<Duration>(phaseEnd - now));
    }
}

std::uint32_t LoadGenerator::pickKind(const LoadPhase &phase)
{
    const auto weightOf = [&](const LoadKind &kind) {
        return kind.weight * (kind.className == phase.floodClass ? phase.floodFactor : 1.0);
    };
    double total = 0;
    for (const LoadKind &kind : m_plan.kinds) {
        total += weightOf(kind);
    }
    double pick = m_random->unit() * total;
    for (std::uint32_t i = 0; i < m_plan.kinds.size(); ++i) {
        pick -= weightOf(m_plan.kinds[i]);
        if (pick < 0) {
            return i;
        }
    }
    return static_cast<std::uint32_t>(m_plan.kinds.size() - 1);
}

void LoadGenerator::sendOne(std::size_t index)
{
    LoadRecord record = m_records[index];
    const LoadKind &kind = m_plan.kinds[record.kind];
    const TimePoint due = m_startedAt + record.intended;
    const std::string requestId = toHex(m_random->next() | 1U);
    bool isOver = false;
    for (std::uint32_t attempt = 1; !isOver && attempt <= m_plan.callers.attempts; ++attempt) {
        const Endpoint entry = m_plan.entries[m_random->below(m_plan.entries.size())];
        const HttpRequest request = makeRequest(record, kind, attempt, requestId);
        ++record.callerAttempts;
        const HttpResult result =
            m_client->exchange(entry, request, m_plan.callers.patience, nullptr);
        Duration wait{ 0 };
        isOver = judge(result, kind, record, wait);
        const bool isLast = attempt == m_plan.callers.attempts;
        if (isOver || isLast || m_loop.now() + wait - due > m_plan.callers.giveUp) {
            break;
        }
        m_loop.sleepFor(wait);
    }
    record.latency = std::chrono::duration_cast<Duration>(m_loop.now() - due);
    m_records[index] = std::move(record);
    --m_open;
}

HttpRequest LoadGenerator::makeRequest(const LoadRecord &record, const LoadKind &kind,
                                       std::uint32_t attempt, const std::string &requestId) const
{
    HttpRequest request;
    request.method = kind.call.method;
    const std::string prefix = m_plan.isDirect ? std::string() : '/' + kind.call.service;
    request.target = prefix + kind.call.path + "?token=" + record.token;
    request.headers.push_back({ headers::ATTEMPT, std::to_string(attempt) });
    request.headers.push_back({ headers::REQUEST_ID, requestId });
    if (kind.hasKey) {
        request.headers.push_back({ headers::IDEMPOTENCY_KEY, record.token });
    }
    return request;
}

bool LoadGenerator::judge(const HttpResult &result, const LoadKind &kind, LoadRecord &record,
                          Duration &wait) const
{
    wait = m_plan.callers.retryDelay;
    if (!result) {
        record.trouble = result.error().text;
        record.result = result.error().cause == HttpFailureCause::Timeout ? LoadResult::TimedOut
                                                                          : LoadResult::Failed;
        return false;
    }
    record.entryAttempts += headerNumber(*result, headers::ATTEMPTS);
    if (result->status == OK) {
        const bool isOwn = result->body == wholeAnswer(m_graph, kind.call, record.token);
        record.result = isOwn ? LoadResult::Completed : LoadResult::Wrong;
        return true;
    }
    record.trouble = std::to_string(result->status) + ' ' + result->body.text();
    const std::string *outcome = findHeader(result->headers, headers::OUTCOME);
    const bool isNotRun = outcome && *outcome == "not-run";
    record.result = isNotRun ? LoadResult::Refused : LoadResult::Failed;
    record.notRunAttempts += isNotRun ? 1 : 0;
    const std::uint32_t retryAfterMs = headerNumber(*result, headers::RETRY_AFTER_MS);
    if (m_plan.callers.honoursRetryAfter && isNotRun) {
        wait = std::chrono::milliseconds(retryAfterMs);
        return retryAfterMs == 0;
    }
    return false;
}

} // namespace ivyspar::lab
