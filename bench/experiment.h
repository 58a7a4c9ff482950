#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "standins/graph/callgraph.h"
#include "standins/load/loadgenerator.h"

namespace ivyspar::lab {

/// How long the parts of a run last.
struct RunTimes
{
    Duration before = std::chrono::seconds(2);
    Duration trigger = std::chrono::seconds(4);
    Duration after = std::chrono::seconds(4);
};

/// A change of behaviour of the stand-in servers whose name begins with `servers`.
struct BehaviourChange
{
    std::string servers;
    /// Body of `POST /behaviour`.
    std::string json;
};

/// One experiment: what triggers the overload, and what the bottleneck can do meanwhile.
struct Experiment
{
    std::string name;
    /// Factor on the demand while the trigger lasts.
    double demand = 1;
    std::string floodClass;
    double floodFactor = 1;
    std::vector<BehaviourChange> start;
    std::vector<BehaviourChange> end;
    CallerBehaviour callers;
    /// Factor on the service time of a service while the trigger lasts, for the capacity.
    std::map<std::string, double> slowdown;
    /// Share of the bottleneck's servers that can work at all while the trigger lasts.
    double healthyShare = 1;
};

std::vector<Experiment> makeExperiments();

/// The mix and the graph that all experiments use: reports and menus of Tallowood, whose bottleneck
/// is prep-planner, and disposal records. Service times are stretched by `scale`, so that one
/// machine can carry ten times the demand.
CallGraph makeBenchGraph(double scale);
std::vector<LoadKind> makeBenchKinds();
constexpr char BOTTLENECK[] = "prep-planner";

/// Time for which a call occupies a slot of the bottleneck, itself and with the calls below it.
Duration bottleneckTime(const CallGraph &graph, const GraphCall &call,
                        const std::map<std::string, double> &slowdown);
/// Slots of all servers of the bottleneck.
double bottleneckSlots(const CallGraph &graph);

} // namespace ivyspar::lab
