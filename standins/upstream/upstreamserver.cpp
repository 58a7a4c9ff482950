#include "standins/upstream/upstreamserver.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "protocol/headers.h"
#include "protocol/noticereader.h"
#include "transport/transportfactory.h"

namespace ivyspar::lab {

namespace {

constexpr Duration ANNOUNCE_INTERVAL = std::chrono::milliseconds(300);
constexpr Duration ANNOUNCE_TIMEOUT = std::chrono::seconds(1);
constexpr Duration LONGEST_REQUEST = std::chrono::seconds(60);
constexpr std::uint16_t SERVER_ERROR = 500;
constexpr std::uint16_t BAD_GATEWAY = 502;
constexpr std::uint16_t UNAVAILABLE = 503;
constexpr std::uint16_t NOT_FOUND = 404;
constexpr std::uint16_t OK = 200;

HttpResponse makeText(std::uint16_t status, std::string body)
{
    return HttpResponse{ status, { { "Content-Type", "text/plain" } }, std::move(body) };
}

/// `/path?token=abc` as path and token.
std::pair<std::string, std::string> splitToken(const std::string &target)
{
    const auto query = target.find('?');
    const std::string mark = "?token=";
    if (query == std::string::npos || target.compare(query, mark.size(), mark) != 0) {
        return { target.substr(0, query), "" };
    }
    return { target.substr(0, query), target.substr(query + mark.size()) };
}

std::string headerOr(const HttpRequest &request, const char *name, const std::string &fallback)
{
    const std::string *value = findHeader(request.headers, name);
    return value ? *value : fallback;
}

} // namespace

/// One request while the server has it.
struct UpstreamServer::Work
{
    explicit Work(IEventLoop &loop)
        : gone(loop)
    {
    }

    std::string context;
    std::string deadlineMs;
    OneShot<bool> gone;
    OneShot<bool> *slot = nullptr;
    HttpCancellationPtr below;
    bool isGone = false;

    void leave()
    {
        isGone = true;
        gone.set(true);
        if (slot) {
            slot->set(false);
        }
        if (below) {
            below->cancel();
        }
    }
};

UpstreamServer::UpstreamServer(IEventLoop &loop, IRandom &random, const CallGraph &graph,
                               UpstreamSpec spec)
    : m_loop(loop)
    , m_random(random)
    , m_graph(graph)
    , m_spec(std::move(spec))
    , m_listener(loop)
    , m_client(makeHttpClient(loop, HttpClientLimits{}))
{
    m_client->setConnectionLimit(m_spec.daemon, m_spec.slots * 4 + 16);
}

UpstreamServer::~UpstreamServer() = default;

RetVal<Endpoint> UpstreamServer::start(const Endpoint &listen)
{
    HttpLimits limits;
    limits.connections = m_spec.connections;
    auto endpoint = m_listener.listen(listen, limits,
                                      [this](IHttpExchange &exchange) { return handle(exchange); });
    if (!endpoint) {
        return endpoint;
    }
    m_endpoint = *endpoint;
    m_startedAt = m_loop.now();
    m_loop.spawn([this] { announceForever(); });
    return endpoint;
}

void UpstreamServer::stop(Duration timeout)
{
    m_isStopped = true;
    m_listener.stop(timeout);
}

void UpstreamServer::setDaemon(const Endpoint &daemon)
{
    m_spec.daemon = daemon;
    m_client->setConnectionLimit(daemon, m_spec.slots * 4 + 16);
}

void UpstreamServer::crash()
{
    m_listener.crash(m_behaviour.downTime);
    m_notices.startRun();
}

HttpResponse UpstreamServer::handle(IHttpExchange &exchange)
{
    m_notices.onArrival(m_loop.now());
    HttpResponse response = answer(exchange);
    stateNotice(response);
    return response;
}

void UpstreamServer::stateNotice(HttpResponse &response)
{
    for (const std::string &limit : m_behaviour.rateLimits) {
        response.headers.push_back({ headers::UPSTREAM_RATE_LIMIT, limit });
    }
    if (m_behaviour.statesLeaving) {
        response.headers.push_back({ headers::UPSTREAM_LEAVING, "1" });
    }
    const ResponseNotice stated =
        readNotice(response.headers, { headers::UPSTREAM_RATE_LIMIT, headers::UPSTREAM_LEAVING });
    if (!stated.isRateLimitMalformed) {
        const auto rate =
            stated.rateLimit ? std::make_optional(toPerSecond(*stated.rateLimit)) : std::nullopt;
        m_notices.onResponse(m_loop.now(), rate, stated.isLeaving);
    }
}

HttpResponse UpstreamServer::answer(IHttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const auto [path, token] = splitToken(request.target);
    const GraphNode *node = m_graph.find(m_spec.service, request.method, path);
    if (!node) {
        return makeText(NOT_FOUND, "no such request");
    }
    if (m_random.unit() < m_behaviour.failShare) {
        return makeText(SERVER_ERROR, "failing as told");
    }
    if (m_behaviour.queueBound > 0 && m_waiting.size() >= m_behaviour.queueBound) {
        HttpResponse refusal = makeText(UNAVAILABLE, "shedding load");
        refusal.headers.push_back({ headers::UPSTREAM_OUTCOME, "not-run" });
        return refusal;
    }
    Work current(m_loop);
    current.context = headerOr(request, headers::CONTEXT, "");
    current.deadlineMs = headerOr(request, headers::DEADLINE_MS, "");
    exchange.onDisconnect([&current] { current.leave(); });
    HttpResponse response = makeText(UNAVAILABLE, "caller left");
    if (takeSlot(current)) {
        response = work(*node, token, current);
        freeSlot();
    }
    exchange.onDisconnect({});
    return response;
}

bool UpstreamServer::takeSlot(Work &work)
{
    if (work.isGone) {
        return false;
    }
    if (m_busy < m_spec.slots) {
        ++m_busy;
        return true;
    }
    OneShot<bool> slot(m_loop);
    work.slot = &slot;
    m_waiting.push_back(&slot);
    const bool isTaken = slot.wait(LONGEST_REQUEST).value_or(false);
    work.slot = nullptr;
    m_waiting.erase(std::remove(m_waiting.begin(), m_waiting.end(), &slot), m_waiting.end());
    return isTaken;
}

void UpstreamServer::freeSlot()
{
    --m_busy;
    while (!m_waiting.empty()) {
        OneShot<bool> *next = m_waiting.front();
        m_waiting.pop_front();
        if (!next->isSet()) {
            ++m_busy;
            next->set(true);
            return;
        }
    }
}

HttpResponse UpstreamServer::work(const GraphNode &node, const std::string &token, Work &current)
{
    m_executions.push_back(Execution{ token, m_spec.service, node.call.path });
    if (!token.empty() && token == m_behaviour.crashToken) {
        m_loop.callLater(m_behaviour.crashDelay, [this] { crash(); });
        // It never ends by itself.
        current.gone.wait(LONGEST_REQUEST);
        return makeText(UNAVAILABLE, "crashed");
    }
    // Exponential-like spread around the mean, bounded so that runs stay comparable.
    const double spread = 0.5 + m_random.unit();
    const auto serviceTime =
        std::chrono::duration_cast<Duration>(node.serviceTime * (factor() * spread));
    current.gone.wait(serviceTime);
    if (node.call.path == m_behaviour.failPath) {
        return makeText(SERVER_ERROR, "failing as told");
    }
    std::string answer = answerHead(node.call, token) + " [";
    for (const GraphCall &call : node.calls) {
        if (current.isGone) {
            return makeText(UNAVAILABLE, "caller left");
        }
        HttpResponse below = callBelow(call, token, current);
        if (below.status != OK) {
            return makeText(BAD_GATEWAY,
                            "a call to " + call.service + " failed: " + below.body.text());
        }
        answer += below.body;
    }
    return makeText(OK, answer + ']');
}

HttpResponse UpstreamServer::callBelow(const GraphCall &call, const std::string &token,
                                       Work &current)
{
    HttpRequest request;
    request.method = call.method;
    request.target = '/' + call.service + call.path + "?token=" + token;
    if (!current.context.empty() && !m_behaviour.isContextDropped) {
        request.headers.push_back({ headers::CONTEXT, current.context });
    }
    current.below = new HttpCancellation;
    const HttpResult result =
        m_client->exchange(m_spec.daemon, request, LONGEST_REQUEST, current.below);
    current.below.reset();
    if (!result) {
        return makeText(BAD_GATEWAY, result.error().text);
    }
    return *result;
}

void UpstreamServer::announceForever()
{
    while (!m_isStopped) {
        if (!m_behaviour.isSilent && !m_listener.isDown()) {
            announce();
        }
        m_loop.sleepFor(ANNOUNCE_INTERVAL);
    }
}

void UpstreamServer::announce()
{
    const nlohmann::json document{
        { "service", m_spec.service },
        { "address", m_endpoint.text() },
        { "slots", m_behaviour.announcedSlots > 0 ? m_behaviour.announcedSlots : m_spec.slots },
        { "connections", m_spec.connections },
        { "draining", m_behaviour.isDraining },
        { "run", m_spec.name + '-' + std::to_string(m_listener.crashCount()) },
    };
    HttpRequest request{
        "PUT", "/announce", { { "Content-Type", "application/json" } }, document.dump()
    };
    // A daemon that is away hears the next one.
    (void)m_client->exchange(m_spec.daemon, request, ANNOUNCE_TIMEOUT, nullptr);
}

double UpstreamServer::factor() const
{
    const bool isCold = m_loop.now() - m_startedAt < m_behaviour.coldStart;
    return m_behaviour.slowdown * (isCold ? m_behaviour.coldFactor : 1.0);
}

} // namespace ivyspar::lab
