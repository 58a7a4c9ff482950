#pragma once

#include <string>

#include "standins/graph/callgraph.h"

namespace ivyspar::lab {

/// Budget of attempts that the rules of a chain give each request, and the attempts of its caller.
constexpr std::uint32_t CHAIN_CALLER_ATTEMPTS = 3;
constexpr std::uint32_t chainAttempts(std::uint32_t depth)
{
    return 2 * depth;
}

/// One service that calls itself, `depth` calls deep: `/chain/00` calls `/chain/01`, and so on.
/// Named `chain-DEPTH`.
CallGraph makeChainGraph(std::uint32_t depth);
std::string chainPath(std::uint32_t index);

/// One service `desk` with a server in each of that many failure domains, and with a request of
/// each kind: `POST /bookings` at most once, `POST /records` never repeated and most important,
/// `GET /pages` least important, `GET /wait/1` to `/wait/5` with service times from 5 ms to 200 ms.
/// Named `trial-SERVERS`.
CallGraph makeTrialGraph(std::uint32_t servers = 3);

/// Inventory and rules (TOML) for these graphs.
std::string makeTrialInventory(const CallGraph &graph);
std::string makeTrialRules(const CallGraph &graph);

} // namespace ivyspar::lab
