#include "standins/load/deploymentload.h"

namespace ivyspar::lab {

std::vector<LoadKind> makeDeploymentKinds(const std::string &deployment)
{
    if (deployment == "tallowood") {
        return {
            { "report", { "prep-planner", "GET", "/report" }, 4, false },
            { "browsing", { "prep-planner", "GET", "/menus" }, 4, false },
            { "compliance", { "spoilage-book", "POST", "/disposals" }, 1, false },
            { "pickup", { "rescue-desk", "POST", "/pickups" }, 1, true },
            { "weighing", { "weighbridge", "POST", "/trays" }, 2, false },
        };
    }
    return {
        { "browsing", { "catalogo", "GET", "/pages" }, 6, false },
        { "stock", { "magazzino", "GET", "/stock" }, 2, false },
        { "payment", { "cassa", "POST", "/payments" }, 1, true },
        { "order", { "cassa", "POST", "/orders" }, 1, true },
    };
}

} // namespace ivyspar::lab
