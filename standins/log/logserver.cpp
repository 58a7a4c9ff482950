#include "standins/log/logserver.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include <nlohmann/json.hpp>

#include "protocol/base64.h"
#include "standins/log/logfaultscodec.h"
#include "transport/logheaders.h"

namespace ivyspar::lab {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t STATUS_OK = 200;
constexpr std::uint16_t STATUS_CREATED = 201;
constexpr std::uint16_t STATUS_BAD_REQUEST = 400;
constexpr std::uint16_t STATUS_NOT_FOUND = 404;
constexpr std::uint16_t STATUS_TOO_LARGE = 413;
constexpr std::uint16_t STATUS_TOO_MANY = 429;
constexpr std::uint16_t STATUS_INTERNAL = 500;
constexpr std::uint16_t STATUS_UNAVAILABLE = 503;

constexpr std::uint32_t MAX_PAGE_RECORDS = 10000;
constexpr std::uint32_t DEFAULT_PAGE_RECORDS = 100;
constexpr Duration MAX_WAIT = std::chrono::seconds(30);
/// For how long a lost answer keeps the exchange open if the client does not give up.
constexpr Duration MAX_SILENCE = std::chrono::minutes(5);

constexpr char STREAMS[] = "/streams/";
constexpr char RECORDS[] = "/records";

HttpResponse makeResponse(std::uint16_t status, const Json &body)
{
    return { status, { { "Content-Type", "application/json" } }, body.dump() };
}

HttpResponse makeError(std::uint16_t status, const std::string &text)
{
    HttpResponse response = makeResponse(status, { { "error", text } });
    if (status != STATUS_INTERNAL) {
        response.headers.push_back({ headers::LOG_OUTCOME, headers::LOG_NOT_APPENDED });
    }
    return response;
}

/// The stream of `/streams/{name}/records`.
std::optional<StreamName> streamOf(const std::string &path)
{
    const std::size_t prefix = sizeof(STREAMS) - 1;
    const std::size_t suffix = sizeof(RECORDS) - 1;
    if (path.size() <= prefix + suffix || path.compare(0, prefix, STREAMS) != 0
        || path.compare(path.size() - suffix, suffix, RECORDS) != 0) {
        return std::nullopt;
    }
    const std::string name = path.substr(prefix, path.size() - prefix - suffix);
    constexpr char ALLOWED[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    if (name.find_first_not_of(ALLOWED) != std::string::npos) {
        return std::nullopt;
    }
    return StreamName(name);
}

/// The number of that name in a query; `otherwise` when it is missing, nothing when it is bad.
std::optional<std::uint64_t> queryNumber(const std::string &query, const std::string &name,
                                         std::uint64_t otherwise)
{
    const std::string text = "&" + query;
    const std::size_t found = text.find("&" + name + "=");
    if (found == std::string::npos) {
        return otherwise;
    }
    const std::size_t start = found + name.size() + 2;
    const std::size_t length = std::min(text.find('&', start), text.size()) - start;
    const char *begin = text.data() + start;
    std::uint64_t value = 0;
    const auto [stop, error] = std::from_chars(begin, begin + length, value);
    return error == std::errc() && stop == begin + length ? std::optional(value) : std::nullopt;
}

Json toJson(const LogPage &page)
{
    Json records = Json::array();
    for (const LogRecord &record : page.records) {
        records.push_back(
            { { "offset", record.offset.value() }, { "payload", toBase64(record.payload) } });
    }
    return { { "first", page.first.value() },
             { "end", page.end.value() },
             { "records", std::move(records) } };
}

std::string clientOf(const HttpRequest &request)
{
    const std::string *client = findHeader(request.headers, headers::LOG_CLIENT);
    return client ? *client : std::string();
}

} // namespace

LogServer::LogServer(IEventLoop &loop, LogCore &core)
    : m_loop(loop)
    , m_core(core)
{
}

HttpResponse LogServer::handle(IHttpExchange &exchange)
{
    ++m_active;
    HttpResponse response = route(exchange);
    --m_active;
    return response;
}

HttpResponse LogServer::route(IHttpExchange &exchange)
{
    const std::string &target = exchange.request().target;
    const std::size_t mark = target.find('?');
    const std::string path = target.substr(0, mark);
    const std::string query = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    const std::string &method = exchange.request().method;
    if (path == "/faults" && method == "POST") {
        return setFaults(exchange.request().body);
    }
    if (path == "/stats" && method == "GET") {
        return statistics();
    }
    const std::optional<StreamName> stream = streamOf(path);
    if (stream && method == "POST") {
        return append(exchange, *stream);
    }
    if (stream && method == "GET") {
        return read(exchange, *stream, query);
    }
    return makeError(STATUS_NOT_FOUND, "no such resource");
}

HttpResponse LogServer::append(IHttpExchange &exchange, const StreamName &stream)
{
    const std::string payload = exchange.request().body;
    const std::string client = clientOf(exchange.request());
    if (m_core.faults().effectDelay > Duration::zero()) {
        m_loop.sleepFor(m_core.faults().effectDelay);
    }
    const AppendResult result = m_core.append(stream, payload, client, m_loop.now());
    wakeReaders();
    if (result.kind != AppendResult::Kind::NoAnswer
        && m_core.faults().answerDelay > Duration::zero()) {
        m_loop.sleepFor(m_core.faults().answerDelay);
    }
    switch (result.kind) {
    case AppendResult::Kind::Appended:
        return makeResponse(STATUS_CREATED, { { "offset", result.offset.value() } });
    case AppendResult::Kind::Throttled:
        return makeError(STATUS_TOO_MANY, "too many appends a second");
    case AppendResult::Kind::TooLarge:
        return makeError(STATUS_TOO_LARGE, "the record is too large");
    case AppendResult::Kind::Down:
        return makeError(STATUS_UNAVAILABLE, "down");
    case AppendResult::Kind::NoAnswer:
        break;
    }
    return stayAway(exchange);
}

HttpResponse LogServer::read(IHttpExchange &exchange, const StreamName &stream,
                             const std::string &query)
{
    const auto from = queryNumber(query, "from", 0);
    const auto max = queryNumber(query, "max", DEFAULT_PAGE_RECORDS);
    const auto waitMs = queryNumber(query, "wait_ms", 0);
    if (!from || !max || *max == 0 || !waitMs) {
        return makeError(STATUS_BAD_REQUEST, "bad query");
    }
    const auto maxRecords =
        static_cast<std::uint32_t>(std::min<std::uint64_t>(*max, MAX_PAGE_RECORDS));
    const std::string client = clientOf(exchange.request());
    const std::uint64_t maxWaitMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(MAX_WAIT).count();
    const TimePoint until =
        m_loop.now() + std::chrono::milliseconds(std::min<std::uint64_t>(*waitMs, maxWaitMs));
    if (m_core.faults().answerDelay > Duration::zero()) {
        m_loop.sleepFor(m_core.faults().answerDelay);
    }
    while (true) {
        ReadResult result = m_core.read(stream, LogOffset(*from), maxRecords, client, m_loop.now());
        if (result.kind == ReadResult::Kind::NoAnswer) {
            return stayAway(exchange);
        }
        if (result.kind == ReadResult::Kind::Down) {
            return makeError(STATUS_UNAVAILABLE, "down");
        }
        if (!result.page.records.empty() || m_loop.now() >= until) {
            return makeResponse(STATUS_OK, toJson(result.page));
        }
        if (!waitForAppend(exchange, until - m_loop.now())) {
            return makeError(STATUS_INTERNAL, "the client gave up");
        }
    }
}

HttpResponse LogServer::setFaults(const std::string &body)
{
    const Ret result = applyFaults(body, m_core.faults());
    wakeReaders();
    if (!result) {
        return makeError(STATUS_BAD_REQUEST, result.error().text);
    }
    return makeResponse(STATUS_OK, Json::object());
}

HttpResponse LogServer::statistics() const
{
    Json streams = Json::object();
    for (const auto &[name, statistics] : m_core.statistics()) {
        streams[name.value()] = {
            { "appends", statistics.appends },      { "appended_bytes", statistics.appendedBytes },
            { "reads", statistics.reads },          { "empty_reads", statistics.emptyReads },
            { "read_bytes", statistics.readBytes }, { "throttled", statistics.throttled }
        };
    }
    return makeResponse(STATUS_OK, { { "streams", std::move(streams) } });
}

HttpResponse LogServer::stayAway(IHttpExchange &exchange)
{
    OneShot<bool> disconnected(m_loop);
    exchange.onDisconnect([&disconnected] { disconnected.set(true); });
    disconnected.wait(MAX_SILENCE);
    exchange.onDisconnect({});
    return makeError(STATUS_INTERNAL, "no answer");
}

bool LogServer::waitForAppend(IHttpExchange &exchange, Duration timeout)
{
    OneShot<bool> appended(m_loop);
    const auto place = m_waiting.insert(m_waiting.end(), &appended);
    exchange.onDisconnect([&appended] { appended.set(false); });
    const bool isGone = !appended.wait(timeout).value_or(true);
    exchange.onDisconnect({});
    m_waiting.erase(place);
    return !isGone;
}

void LogServer::wakeReaders()
{
    for (OneShot<bool> *each : m_waiting) {
        each->set(true);
    }
}

} // namespace ivyspar::lab
