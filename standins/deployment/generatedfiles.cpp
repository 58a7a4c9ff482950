#include "standins/deployment/generatedfiles.h"

#include <fstream>

namespace ivyspar::lab {

namespace {

void writeInventory(const CallGraph &graph, std::ostream &out)
{
    out << "deployment = \"" << graph.deployment << "\"\n";
    for (const std::string &domain : graph.domains) {
        out << "[[domain]]\nname = \"" << domain << "\"\nregion = \"bench\"\n";
    }
    for (const GraphService &service : graph.services) {
        out << "[[service]]\nname = \"" << service.name << "\"\nslots = " << service.slots
            << "\nconnections = " << service.connections << '\n';
    }
    for (const GraphService &service : graph.services) {
        for (std::uint32_t i = 0; i < service.servers; ++i) {
            out << "[[server]]\nname = \"" << service.name << '-' << i + 1 << "\"\nservice = \""
                << service.name << "\"\ndomain = \"" << graph.domains[i % graph.domains.size()]
                << "\"\n";
        }
    }
}

void writeRules(const CallGraph &graph, std::ostream &out)
{
    out << "[[class]]\nname = \"standard\"\npriority = 50\n";
    std::size_t number = 0;
    for (const GraphNode &node : graph.nodes) {
        out << "[[rule]]\nname = \"rule-" << ++number << "\"\nservice = \"" << node.call.service
            << "\"\nmethod = \"" << node.call.method << "\"\npath = \"" << node.call.path
            << "\"\nclass = \"standard\"\nwait = \"5s\"\ncalls = " << countCalls(graph, node.call)
            << "\nrepeat = \"idempotent\"\n";
    }
}

} // namespace

void writeConfigurationFiles(const CallGraph &graph, const std::string &folder)
{
    std::ofstream inventory(folder + "/inventory.toml");
    writeInventory(graph, inventory);
    std::ofstream rules(folder + "/rules.toml");
    writeRules(graph, rules);
}

CallGraph makeFlatGraph(std::uint32_t servers, std::uint32_t domains)
{
    CallGraph graph;
    graph.deployment = "flat-" + std::to_string(servers);
    for (std::uint32_t i = 0; i < domains; ++i) {
        graph.domains.push_back("domain-" + std::to_string(i + 1));
    }
    graph.services = { { "work", servers, 200, 1000 } };
    graph.nodes = { { { "work", "GET", "/work" }, Duration::zero(), {} } };
    return graph;
}

CallGraph makePairGraph(std::uint32_t servers)
{
    CallGraph graph = makeFlatGraph(servers, 1);
    graph.deployment = "pair-" + std::to_string(servers);
    graph.services.push_back({ "front", servers, 200, 1000 });
    graph.nodes.push_back({ { "front", "GET", "/front" }, Duration::zero(), {} });
    return graph;
}

} // namespace ivyspar::lab
