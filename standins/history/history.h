#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standins/graph/callgraph.h"

namespace ivyspar::lab {

/// What a caller was told of one attempt.
enum class Told {
    Answered, ///< The upstream's answer.
    NotRun, ///< Proof that no upstream started the request.
    Unknown, ///< It may have run, or there was no answer at all.
};

/// One attempt of a caller: invocation and response.
struct CallerAttempt
{
    Told told = Told::Unknown;
    std::uint16_t status = 0;
    std::string reason;
    std::string body;
};

/// One action of a caller, with all attempts that it made of it, at whichever daemons.
struct CallerAction
{
    /// Unique; part of the request, so that executions and answers can be told apart.
    std::string token;
    GraphCall call;
    /// May run at most once over all attempts: it has an idempotency key or a ticket.
    bool isOnce = false;
    /// Work that it may start in all, over all its attempts; 0 when the test does not bound it.
    std::uint32_t budget = 0;
    std::vector<CallerAttempt> attempts;
};

/// One start of work at an upstream, in the order of that upstream.
struct StartedWork
{
    std::string server;
    std::string service;
    std::string path;
    std::string token;
};

/// What happened in one run, as callers and upstreams saw it.
struct History
{
    std::vector<CallerAction> actions;
    std::vector<StartedWork> starts;
    /// Configuration versions seen in force at each daemon, in the order of the observations.
    std::map<std::string, std::vector<std::uint64_t>> versions;
};

} // namespace ivyspar::lab
