#include "standins/graph/trials.h"

#include <cstdio>

namespace ivyspar::lab {

namespace {

using std::chrono::milliseconds;

constexpr char CHAIN[] = "chain";
constexpr char TRIAL[] = "trial-";

std::string makeRule(const GraphCall &call, const std::string &className, const std::string &more)
{
    std::string name = call.path.substr(1);
    for (char &letter : name) {
        letter = letter == '/' ? '-' : letter;
    }
    return "[[rule]]\nname = \"" + name + "\"\nservice = \"" + call.service + "\"\nmethod = \""
        + call.method + "\"\npath = \"" + call.path + "\"\nclass = \"" + className + "\"\n" + more
        + "\n";
}

std::string makeChainRules(const CallGraph &graph)
{
    std::string text = "[[class]]\nname = \"chain\"\npriority = 50\n\n";
    const auto depth = static_cast<std::uint32_t>(graph.nodes.size());
    for (std::uint32_t i = 0; i < depth; ++i) {
        text +=
            makeRule(graph.nodes[i].call, "chain",
                     "wait = \"3s\"\nrepeat = \"idempotent\"\ncalls = " + std::to_string(depth - i)
                         + "\nattempts = " + std::to_string(chainAttempts(depth - i))
                         + "\ncaller_attempts = " + std::to_string(CHAIN_CALLER_ATTEMPTS) + '\n');
    }
    return text;
}

} // namespace

std::string chainPath(std::uint32_t index)
{
    char path[32];
    std::snprintf(path, sizeof(path), "/chain/%02u", index);
    return path;
}

CallGraph makeChainGraph(std::uint32_t depth)
{
    CallGraph graph;
    graph.deployment = std::string(CHAIN) + '-' + std::to_string(depth);
    graph.domains = { "hall-a", "hall-b" };
    graph.services = { { CHAIN, 2, 200, 1000 } };
    for (std::uint32_t i = 0; i < depth; ++i) {
        GraphNode node{ { CHAIN, "GET", chainPath(i) }, milliseconds(1), {} };
        if (i + 1 < depth) {
            node.calls.push_back({ CHAIN, "GET", chainPath(i + 1) });
        }
        graph.nodes.push_back(std::move(node));
    }
    return graph;
}

CallGraph makeTrialGraph(std::uint32_t servers)
{
    CallGraph graph;
    graph.deployment = TRIAL + std::to_string(servers);
    for (std::uint32_t i = 0; i < servers; ++i) {
        graph.domains.push_back(std::string("hall-") + static_cast<char>('a' + i));
    }
    graph.services = { { "desk", servers, 20, 400 } };
    graph.nodes = {
        { { "desk", "POST", "/bookings" }, milliseconds(20), {} },
        { { "desk", "POST", "/records" }, milliseconds(20), {} },
        { { "desk", "GET", "/pages" }, milliseconds(20), {} },
        { { "desk", "GET", "/wait/1" }, milliseconds(5), {} },
        { { "desk", "GET", "/wait/2" }, milliseconds(20), {} },
        { { "desk", "GET", "/wait/3" }, milliseconds(50), {} },
        { { "desk", "GET", "/wait/4" }, milliseconds(100), {} },
        { { "desk", "GET", "/wait/5" }, milliseconds(200), {} },
    };
    return graph;
}

std::string makeTrialInventory(const CallGraph &graph)
{
    std::string text = "deployment = \"" + graph.deployment + "\"\n\n";
    for (const std::string &domain : graph.domains) {
        text += "[[domain]]\nname = \"" + domain + "\"\nregion = \"north\"\n\n";
    }
    for (const GraphService &service : graph.services) {
        text += "[[service]]\nname = \"" + service.name
            + "\"\nslots = " + std::to_string(service.slots)
            + "\nconnections = " + std::to_string(service.connections) + "\n\n";
        for (std::uint32_t i = 0; i < service.servers; ++i) {
            text += "[[server]]\nname = \"" + service.name + '-' + std::to_string(i + 1)
                + "\"\nservice = \"" + service.name + "\"\ndomain = \""
                + graph.domains[i % graph.domains.size()] + "\"\n\n";
        }
    }
    return text;
}

std::string makeTrialRules(const CallGraph &graph)
{
    if (graph.deployment.rfind(TRIAL, 0) != 0) {
        return makeChainRules(graph);
    }
    std::string text = "[[class]]\nname = \"compliance\"\npriority = 95\n\n"
                       "[[class]]\nname = \"booking\"\npriority = 85\n\n"
                       "[[class]]\nname = \"browsing\"\npriority = 10\n\n";
    for (const GraphNode &node : graph.nodes) {
        if (node.call.path == "/bookings") {
            text += makeRule(node.call, "booking",
                             "wait = \"3s\"\nrepeat = \"once\"\nkey_lifetime = \"1min\"\n"
                             "caller_attempts = 100\n");
        } else if (node.call.path == "/records") {
            text += makeRule(node.call, "compliance",
                             "wait = \"3s\"\nrepeat = \"never\"\ncaller_attempts = 100\n");
        } else {
            text += makeRule(node.call, "browsing",
                             "wait = \"3s\"\nrepeat = \"idempotent\"\ncaller_attempts = 100\n");
        }
    }
    return text;
}

} // namespace ivyspar::lab
