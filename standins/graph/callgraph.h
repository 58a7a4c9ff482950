#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "state/time.h"

namespace ivyspar::lab {

/// A call as a client or an upstream makes it.
struct GraphCall
{
    std::string service;
    std::string method;
    std::string path;
};

/// What an upstream does for one kind of request: works, then makes the calls one after another.
struct GraphNode
{
    GraphCall call;
    Duration serviceTime{ 0 };
    std::vector<GraphCall> calls;
};

/// A service of a deployment, as the stand-in upstreams offer it.
struct GraphService
{
    std::string name;
    std::uint32_t servers = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

struct CallGraph
{
    std::string deployment;
    std::vector<std::string> domains;
    std::vector<GraphService> services;
    std::vector<GraphNode> nodes;

    /// Null when the upstreams know no such request.
    const GraphNode *find(const std::string &service, const std::string &method,
                          const std::string &path) const;
    const GraphNode *find(const GraphCall &call) const
    {
        return find(call.service, call.method, call.path);
    }
};

/// The whole answer to a call: names each call of its tree and repeats the request's own token, so
/// that a cut, mixed up or foreign answer never equals it.
std::string wholeAnswer(const CallGraph &graph, const GraphCall &call, const std::string &token);

/// The text that one upstream contributes, before those of its calls.
std::string answerHead(const GraphCall &call, const std::string &token);

/// Calls in the whole tree, `call` included.
std::uint32_t countCalls(const CallGraph &graph, const GraphCall &call);

/// `tallowood` and `bottega` as the brief describes them, `flat-N` for one service of N servers,
/// `pair-N` for one that is called from hosts of another, and the graphs of trials.h. Nothing for
/// another name.
CallGraph makeDeploymentGraph(const std::string &deployment);

} // namespace ivyspar::lab
