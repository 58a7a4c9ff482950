#include <cstdlib>

#include "standins/deployment/generatedfiles.h"
#include "standins/graph/callgraph.h"
#include "standins/graph/trials.h"

namespace ivyspar::lab {

namespace {

using std::chrono::milliseconds;

CallGraph makeTallowood()
{
    CallGraph graph;
    graph.deployment = "tallowood";
    graph.domains = { "fortitude-hall", "southbank-hall", "coorparoo-dc", "eagle-farm" };
    graph.services = {
        { "weighbridge", 4, 80, 600 },
        { "rescue-desk", 4, 80, 600 },
        { "spoilage-book", 4, 80, 600 },
        { "prep-planner", 4, 15, 200 },
    };
    const GraphCall collections{ "rescue-desk", "GET", "/collections" };
    const GraphCall trays{ "weighbridge", "GET", "/trays" };
    const GraphCall loads{ "weighbridge", "GET", "/loads" };
    const GraphCall waste{ "spoilage-book", "GET", "/waste" };
    const GraphCall stock{ "spoilage-book", "GET", "/stock" };
    graph.nodes = {
        { { "prep-planner", "GET", "/report" }, milliseconds(20), { waste } },
        { { "prep-planner", "GET", "/menus" }, milliseconds(10), { stock } },
        { { "spoilage-book", "POST", "/disposals" }, milliseconds(10), { trays } },
        { { "rescue-desk", "POST", "/pickups" }, milliseconds(10), { loads } },
        { { "weighbridge", "POST", "/trays" }, milliseconds(5), {} },
        { waste, milliseconds(10), { trays } },
        { stock, milliseconds(5), {} },
        { trays, milliseconds(5), { collections } },
        { loads, milliseconds(5), {} },
        { collections, milliseconds(5), {} },
    };
    return graph;
}

CallGraph makeBottega()
{
    CallGraph graph;
    graph.deployment = "bottega";
    graph.domains = { "sala-a", "sala-b", "sala-c" };
    graph.services = {
        { "catalogo", 4, 240, 1500 },
        { "scheda", 4, 240, 1500 },
        { "cassa", 3, 300, 2000 },
        { "magazzino", 3, 40, 300 },
    };
    const GraphCall prices{ "cassa", "GET", "/prices" };
    const GraphCall stock{ "magazzino", "GET", "/stock" };
    const GraphCall reservations{ "magazzino", "POST", "/reservations" };
    const GraphCall items{ "scheda", "GET", "/items" };
    graph.nodes = {
        { { "catalogo", "GET", "/pages" }, milliseconds(10), { items } },
        { { "cassa", "POST", "/payments" }, milliseconds(20), { reservations } },
        { { "cassa", "POST", "/orders" }, milliseconds(10), { reservations } },
        { items, milliseconds(10), { stock } },
        { stock, milliseconds(8), { prices } },
        { reservations, milliseconds(8), {} },
        { prices, milliseconds(5), {} },
    };
    return graph;
}

std::uint32_t numberAfter(const std::string &name, const std::string &prefix)
{
    return static_cast<std::uint32_t>(std::strtoul(name.c_str() + prefix.size(), nullptr, 10));
}

} // namespace

CallGraph makeDeploymentGraph(const std::string &deployment)
{
    if (deployment == "tallowood") {
        return makeTallowood();
    }
    if (deployment == "bottega") {
        return makeBottega();
    }
    const std::string flat = "flat-";
    if (deployment.rfind(flat, 0) == 0) {
        constexpr std::uint32_t DOMAINS = 6;
        return makeFlatGraph(numberAfter(deployment, flat), DOMAINS);
    }
    const std::string pair = "pair-";
    if (deployment.rfind(pair, 0) == 0) {
        return makePairGraph(numberAfter(deployment, pair));
    }
    const std::string trial = "trial-";
    if (deployment.rfind(trial, 0) == 0) {
        return makeTrialGraph(numberAfter(deployment, trial));
    }
    const std::string chain = "chain-";
    if (deployment.rfind(chain, 0) == 0) {
        return makeChainGraph(numberAfter(deployment, chain));
    }
    return {};
}

} // namespace ivyspar::lab
