#include "app/internal/trafficnode.h"

#include <memory>
#include <string>

#include "app/iplatform.h"
#include "app/tests/mocks/silentobservers.h"
#include "transport/tests/loopback.h"
#include "transport/tests/looprunner.h"
#include "transport/tests/rawsocket.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

ConfigurationPtr makeConfiguration(const std::string &service, const std::string &host)
{
    RuleSpec rule;
    rule.name = RuleName("orders");
    rule.service = ServiceName(service);
    rule.host = host;
    rule.path = "/";
    rule.wait = 100ms;
    rule.attempts = AttemptCount(3);
    boost::intrusive_ptr<Configuration> configuration(new Configuration);
    configuration->inventory.services.push_back(ServiceSpec{});
    configuration->inventory.services.back().name = rule.service;
    configuration->rules.rules.push_back(rule);
    configuration->hosts = HostIndex(configuration->rules);
    return configuration;
}

} // namespace

TEST_GROUP(TrafficNode)
{
    LoopRunner m_runner;
    SilentObservers m_observers;
    ConfirmationTime m_confirmation;
    std::unique_ptr<IPlatform> m_platform = makeOwnPlatform();
    DaemonSettings m_settings;
    std::unique_ptr<TrafficNode> m_node;
    Endpoint m_caller;

    void setup() override
    {
        m_settings.id = DaemonId("d-1");
        m_settings.callerListen = ownLoopback();
        m_settings.upstreamListen = ownLoopback();
        m_settings.peerListen = ownLoopback();
        m_settings.logEndpoints = { { "127.0.0.1", 1 } };
        m_settings.heartbeatTimeout = 3s;
        m_settings.limits = { 100, 16 * 1024, 16 * 1024, 1, 100, 64 * 1024 * 1024 };
    }
    void teardown() override
    {
        m_runner.run([&] {
            m_node->drainCalls(m_runner.loop().now());
            m_node.reset();
        });
    }
    void start(const ConfigurationPtr &configuration)
    {
        TrafficEvents events;
        events.onUpstreams = [](const auto &) {};
        events.onControlMessage = [](const auto &) {};
        events.onUnreachable = [](const auto &) {};
        events.onOutgoingPayload = [](const auto &, const auto &) {};
        m_runner.run([&] {
            m_node = std::make_unique<TrafficNode>(
                m_runner.loop(), m_settings, *m_platform,
                DaemonIdentity{ m_settings.id, Incarnation(1), DomainName("hall-a") }, events,
                m_confirmation, m_observers.observers());
            m_caller = m_node->listen()->caller;
            m_node->setConfiguration(configuration);
        });
    }
    std::string fetchTicket(const std::string &host)
    {
        RawSocket socket = RawSocket::connectTo(m_caller);
        socket.send("POST /tickets HTTP/1.1\r\nHost: " + host
                    + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        return socket.readToEnd();
    }
    /// As on a platform that keeps the configuration, where callers have neither keys nor tickets.
    void useStreamsOfThePlatform()
    {
        m_settings.streams.configuration = StreamName("operator");
    }
};

TEST(TrafficNode, IssuesTickets)
{
    start(makeConfiguration("cassa", ""));
    STRCMP_CONTAINS("HTTP/1.1 201", fetchTicket("daemon").c_str());
}

// Guards against a request to a route that the daemon answers itself, so that no server gets it.
TEST(TrafficNode, RequestOfARouteIsNotAnsweredWithATicket)
{
    useStreamsOfThePlatform();
    start(makeConfiguration("cassa", "shop.example"));
    STRCMP_CONTAINS("Ivyspar-Reason: no-server", fetchTicket("shop.example").c_str());
}

// Guards against an interface of the daemon that the platform does not have.
TEST(TrafficNode, HasNoTicketsWhereThePlatformHasNone)
{
    useStreamsOfThePlatform();
    start(makeConfiguration("cassa", "shop.example"));
    STRCMP_CONTAINS("HTTP/1.1 404", fetchTicket("daemon").c_str());
}

// Guards against tickets in place of the responses of a service with the same path.
TEST(TrafficNode, ServiceNamedLikeTheTicketsHasPrecedence)
{
    start(makeConfiguration("tickets", ""));
    STRCMP_CONTAINS("Ivyspar-Reason: no-server", fetchTicket("daemon").c_str());
}
