#include "standins/graph/callgraph.h"

namespace ivyspar::lab {

const GraphNode *CallGraph::find(const std::string &service, const std::string &method,
                                 const std::string &path) const
{
    for (const GraphNode &node : nodes) {
        if (node.call.service == service && node.call.method == method && node.call.path == path) {
            return &node;
        }
    }
    return nullptr;
}

std::string answerHead(const GraphCall &call, const std::string &token)
{
    return call.method + ' ' + call.service + call.path + ' ' + token;
}

std::string wholeAnswer(const CallGraph &graph, const GraphCall &call, const std::string &token)
{
    const GraphNode *node = graph.find(call);
    std::string answer = answerHead(call, token) + " [";
    if (node) {
        for (const GraphCall &below : node->calls) {
            answer += wholeAnswer(graph, below, token);
        }
    }
    return answer + ']';
}

std::uint32_t countCalls(const CallGraph &graph, const GraphCall &call)
{
    std::uint32_t count = 1;
    const GraphNode *node = graph.find(call);
    if (node) {
        for (const GraphCall &below : node->calls) {
            count += countCalls(graph, below);
        }
    }
    return count;
}

} // namespace ivyspar::lab
