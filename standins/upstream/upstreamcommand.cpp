#include "standins/upstream/upstreamcommand.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "standins/options.h"
#include "standins/signals.h"
#include "standins/upstream/upstreamserver.h"
#include "state/internal/seededrandom.h"
#include "transport/transportfactory.h"

namespace ivyspar::lab {

namespace {

using Json = nlohmann::json;
using Servers = std::vector<std::unique_ptr<UpstreamServer>>;

constexpr int EXIT_FAILURE_AT_START = 1;
constexpr int EXIT_USAGE = 2;
constexpr Duration STOP_TIMEOUT = std::chrono::seconds(1);

/// `name,service,slots,connections,IP:PORT`
UpstreamSpec parseSpec(const std::string &text)
{
    std::istringstream fields(text);
    UpstreamSpec spec;
    std::string slots;
    std::string connections;
    std::string daemon;
    std::getline(fields, spec.name, ',');
    std::getline(fields, spec.service, ',');
    std::getline(fields, slots, ',');
    std::getline(fields, connections, ',');
    std::getline(fields, daemon, ',');
    spec.slots = static_cast<std::uint32_t>(std::strtoul(slots.c_str(), nullptr, 10));
    spec.connections = static_cast<std::uint32_t>(std::strtoul(connections.c_str(), nullptr, 10));
    spec.daemon = Endpoint::parse(daemon).value_or(Endpoint{});
    return spec;
}

Duration readMillis(const Json &document, const char *key, Duration otherwise)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(otherwise);
    return std::chrono::milliseconds(document.value(key, millis.count()));
}

UpstreamBehaviour parseBehaviour(const std::string &text, UpstreamBehaviour behaviour)
{
    const Json document = Json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return behaviour;
    }
    behaviour.slowdown = document.value("slowdown", behaviour.slowdown);
    behaviour.failShare = document.value("failShare", behaviour.failShare);
    behaviour.announcedSlots = document.value("announcedSlots", behaviour.announcedSlots);
    behaviour.queueBound = document.value("queueBound", behaviour.queueBound);
    behaviour.isDraining = document.value("draining", behaviour.isDraining);
    behaviour.isSilent = document.value("silent", behaviour.isSilent);
    behaviour.isContextDropped = document.value("contextDropped", behaviour.isContextDropped);
    behaviour.crashToken = document.value("crashToken", behaviour.crashToken);
    behaviour.crashDelay = readMillis(document, "crashDelayMs", behaviour.crashDelay);
    behaviour.downTime = readMillis(document, "downTimeMs", behaviour.downTime);
    behaviour.rateLimits = document.value("rateLimits", behaviour.rateLimits);
    behaviour.statesLeaving = document.value("statesLeaving", behaviour.statesLeaving);
    behaviour.failPath = document.value("failPath", behaviour.failPath);
    return behaviour;
}

/// A line `server service path token` for each start of work.
HttpResponse listStarts(const Servers &servers)
{
    HttpResponse response;
    for (const auto &server : servers) {
        for (const Execution &execution : server->executions()) {
            response.body += server->spec().name + ' ' + execution.service + ' ' + execution.path
                + ' ' + execution.token + '\n';
        }
    }
    return response;
}

/// `POST /daemon?server=NAME`: the body names where the daemon of that server's host listens now.
HttpResponse moveDaemon(const HttpRequest &request, const Servers &servers)
{
    const auto at = request.target.find('=');
    const auto daemon = Endpoint::parse(request.body);
    for (const auto &server : servers) {
        const bool isNamed =
            at != std::string::npos && server->spec().name == request.target.substr(at + 1);
        if (isNamed && daemon) {
            server->setDaemon(*daemon);
            return HttpResponse{ 204, {}, {} };
        }
    }
    return HttpResponse{ 404, {}, "no such server\n" };
}

/// `POST /crash?server=NAME`
HttpResponse crashServer(const HttpRequest &request, const Servers &servers)
{
    const auto at = request.target.find('=');
    for (const auto &server : servers) {
        if (at != std::string::npos && server->spec().name == request.target.substr(at + 1)) {
            server->crash();
            return HttpResponse{ 204, {}, {} };
        }
    }
    return HttpResponse{ 404, {}, "no such server\n" };
}

/// Crashes of all servers so far.
HttpResponse countCrashes(const Servers &servers)
{
    std::uint32_t count = 0;
    for (const auto &server : servers) {
        count += server->crashCount();
    }
    HttpResponse response;
    response.body = std::to_string(count) + '\n';
    return response;
}

/// A line for each time that a server got more than it had stated.
HttpResponse listNoticeViolations(const Servers &servers)
{
    HttpResponse response;
    for (const auto &server : servers) {
        for (const std::string &violation : server->notices().violations()) {
            response.body += server->spec().name + ": " + violation + '\n';
        }
    }
    return response;
}

/// A line `server arrivals` for each server.
HttpResponse listArrivals(const Servers &servers)
{
    HttpResponse response;
    for (const auto &server : servers) {
        response.body +=
            server->spec().name + ' ' + std::to_string(server->notices().arrivals()) + '\n';
    }
    return response;
}

HttpResponse listExecutions(const Servers &servers)
{
    HttpResponse response;
    for (const auto &server : servers) {
        for (const Execution &execution : server->executions()) {
            response.body += execution.service + ' ' + execution.token + '\n';
        }
    }
    return response;
}

HttpResponse handleControl(const HttpRequest &request, const Servers &servers)
{
    if (request.method == "GET" && request.target == "/executions") {
        return listExecutions(servers);
    }
    if (request.method == "POST" && request.target == "/reset") {
        for (const auto &server : servers) {
            server->forgetExecutions();
        }
        return HttpResponse{ 204, {}, {} };
    }
    if (request.method == "GET" && request.target == "/starts") {
        return listStarts(servers);
    }
    if (request.method == "POST" && request.target.rfind("/crash", 0) == 0) {
        return crashServer(request, servers);
    }
    if (request.method == "GET" && request.target == "/crashes") {
        return countCrashes(servers);
    }
    if (request.method == "GET" && request.target == "/notice-violations") {
        return listNoticeViolations(servers);
    }
    if (request.method == "GET" && request.target == "/arrivals") {
        return listArrivals(servers);
    }
    if (request.method == "POST" && request.target.rfind("/daemon", 0) == 0) {
        return moveDaemon(request, servers);
    }
    const std::string mark = "/behaviour";
    if (request.method != "POST" || request.target.rfind(mark, 0) != 0) {
        return HttpResponse{ 404, {}, "no such control\n" };
    }
    const std::string query = "?server=";
    const auto at = request.target.find(query);
    const std::string name =
        at == std::string::npos ? "" : request.target.substr(at + query.size());
    for (const auto &server : servers) {
        // A prefix names all servers of a service.
        if (server->spec().name.rfind(name, 0) == 0) {
            server->setBehaviour(parseBehaviour(request.body, server->behaviour()));
        }
    }
    return HttpResponse{ 204, {}, {} };
}

} // namespace

int runUpstreams(int argc, char **argv)
{
    const Options options(argc, argv);
    blockStopSignals();
    CallGraph graph = makeDeploymentGraph(options.text("graph", "tallowood"));
    for (GraphNode &node : graph.nodes) {
        node.serviceTime =
            std::chrono::duration_cast<Duration>(node.serviceTime * options.number("scale", 1));
    }
    if (graph.nodes.empty()) {
        std::fprintf(stderr, "upstreams: no such graph; try tallowood or bottega\n");
        return EXIT_USAGE;
    }
    for (const std::string &text : options.texts("server")) {
        const UpstreamSpec spec = parseSpec(text);
        if (spec.slots == 0 || spec.connections == 0 || spec.daemon.port == 0) {
            std::fprintf(stderr,
                         "upstreams: --server is NAME,SERVICE,SLOTS,CONNECTIONS,IP:PORT, not %s\n",
                         text.c_str());
            return EXIT_USAGE;
        }
    }
    const auto loop = makeEventLoop();
    SeededRandom random(static_cast<std::uint64_t>(options.number("seed", 1)));
    Servers servers;
    const auto control = makeHttpServer(*loop);
    int exitCode = 0;
    loop->spawn([&] {
        Json ready;
        for (const std::string &text : options.texts("server")) {
            servers.push_back(
                std::make_unique<UpstreamServer>(*loop, random, graph, parseSpec(text)));
            UpstreamBehaviour behaviour;
            behaviour.coldStart =
                std::chrono::milliseconds(static_cast<long>(options.number("cold_ms", 0)));
            behaviour.queueBound = static_cast<std::uint32_t>(options.number("queue_bound", 0));
            servers.back()->setBehaviour(behaviour);
            const auto endpoint = servers.back()->start(Endpoint{ "127.0.0.1", 0 });
            if (!endpoint) {
                std::fprintf(stderr, "upstream: %s\n", endpoint.error().text.c_str());
                exitCode = EXIT_FAILURE_AT_START;
                loop->stop();
                return;
            }
            ready[servers.back()->spec().name] = endpoint->text();
        }
        const auto bound =
            control->listen(Endpoint{ "127.0.0.1", 0 }, HttpLimits{}, [&](IHttpExchange &exchange) {
                return handleControl(exchange.request(), servers);
            });
        ready["control"] = bound ? bound->text() : "";
        const std::string readyFile = options.text("ready_file", "");
        if (readyFile.empty()) {
            std::printf("%s\n", ready.dump().c_str());
            std::fflush(stdout);
        } else {
            std::ofstream(readyFile) << ready.dump() << '\n';
        }
    });
    std::thread waiter([&] {
        waitForStopSignal();
        loop->post([&] {
            loop->spawn([&] {
                control->drain(STOP_TIMEOUT);
                for (const auto &server : servers) {
                    server->stop(STOP_TIMEOUT);
                }
                loop->stop();
            });
        });
    });
    loop->run();
    stopWaiting(waiter);
    servers.clear();
    return exitCode;
}

} // namespace ivyspar::lab
