#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "standins/graph/callgraph.h"
#include "standins/upstream/crashinglistener.h"
#include "standins/upstream/noticejudge.h"
#include "state/irandom.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"
#include "transport/ihttpserver.h"
#include "transport/oneshot.h"

namespace ivyspar::lab {

struct UpstreamSpec
{
    std::string name;
    std::string service;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    /// Where the daemon of its host takes announcements and calls.
    Endpoint daemon;
};

/// How a server behaves; changed while it runs to provoke failures.
struct UpstreamBehaviour
{
    /// Factor on all service times.
    double slowdown = 1;
    /// Share of requests that are answered 500 at once, without work.
    double failShare = 0;
    /// Announces slots that it does not have.
    std::uint32_t announcedSlots = 0;
    /// Requests that may wait for a slot before more are refused as not run; 0 is no bound.
    std::uint32_t queueBound = 0;
    /// For this long after its start every request takes `coldFactor` times as long.
    Duration coldStart{ 0 };
    double coldFactor = 5;
    bool isDraining = false;
    /// Stops announcing itself.
    bool isSilent = false;
    /// Drops the context header on the calls that it makes.
    bool isContextDropped = false;
    /// Requests for this path are answered 500 after the work; empty for none.
    std::string failPath;
    /// Requests with this token crash the server that begins to run them, `crashDelay` later; empty
    /// for none.
    std::string crashToken;
    Duration crashDelay = std::chrono::milliseconds(60);
    /// Rate limits that every response states, as texts of the header; usually one or none.
    std::vector<std::string> rateLimits;
    /// States in every response that it leaves.
    bool statesLeaving = false;
    /// For how long the server is away after a crash.
    Duration downTime = std::chrono::seconds(2);
};

/// One start of work on a request.
struct Execution
{
    std::string token;
    std::string service;
    std::string path;
};

/// Stand-in for a server of the operators: works with a limited number of slots, queues what comes
/// on top, makes calls through its host's daemon and announces itself there.
class UpstreamServer
{
public:
    UpstreamServer(IEventLoop &loop, IRandom &random, const CallGraph &graph, UpstreamSpec spec);
    ~UpstreamServer();

    RetVal<Endpoint> start(const Endpoint &listen);
    void stop(Duration timeout);
    /// The daemon of the host was replaced by one with other ports.
    void setDaemon(const Endpoint &daemon);
    const UpstreamSpec &spec() const { return m_spec; }
    /// Ends as a process that crashes, and comes back after the time down of its behaviour.
    void crash();
    const NoticeJudge &notices() const { return m_notices; }
    std::uint32_t crashCount() const { return m_listener.crashCount(); }
    void setBehaviour(const UpstreamBehaviour &behaviour) { m_behaviour = behaviour; }
    const UpstreamBehaviour &behaviour() const { return m_behaviour; }
    const std::vector<Execution> &executions() const { return m_executions; }
    void forgetExecutions() { m_executions.clear(); }

private:
    struct Work;

    HttpResponse handle(IHttpExchange &exchange);
    HttpResponse answer(IHttpExchange &exchange);
    void stateNotice(HttpResponse &response);
    bool takeSlot(Work &work);
    void freeSlot();
    HttpResponse work(const GraphNode &node, const std::string &token, Work &work);
    HttpResponse callBelow(const GraphCall &call, const std::string &token, Work &work);
    void announceForever();
    void announce();
    double factor() const;

    IEventLoop &m_loop;
    IRandom &m_random;
    const CallGraph &m_graph;
    UpstreamSpec m_spec;
    UpstreamBehaviour m_behaviour;
    CrashingListener m_listener;
    std::unique_ptr<IHttpClient> m_client;
    Endpoint m_endpoint;
    TimePoint m_startedAt;
    std::uint32_t m_busy = 0;
    std::deque<OneShot<bool> *> m_waiting;
    std::vector<Execution> m_executions;
    NoticeJudge m_notices;
    bool m_isStopped = false;
};

} // namespace ivyspar::lab
