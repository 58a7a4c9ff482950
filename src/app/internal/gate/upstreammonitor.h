#pragma once

#include <memory>

#include "app/internal/gate/gateservice.h"
#include "app/internal/logs/observers.h"
#include "app/internal/waketimer.h"
#include "coordination/upstreams/iupstreamregistry.h"
#include "protocol/iupstreamdialect.h"
#include "state/configuration.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"

namespace ivyspar {

/// Receives the reports of the servers on this host, checks their health when the registry requests
/// it, and tells the gate service which of them accept calls. Traffic thread only.
class UpstreamMonitor
{
public:
    /// All references outlive the monitor.
    UpstreamMonitor(IEventLoop &loop, IHttpClient &client, const IUpstreamDialect &dialect,
                    GateService &gates, Observers observers);

    void setConfiguration(const ConfigurationPtr &configuration);
    /// Handles the report of a server on this host.
    void onReport(const UpstreamReport &report);

private:
    void perform(const UpstreamActions &actions);
    void announce(const UpstreamReport &report);
    void check(const UpstreamReport &report);
    UpstreamHealth fetchHealth(const UpstreamReport &report);
    void record(const UpstreamAction &action);

    IEventLoop &m_loop;
    IHttpClient &m_client;
    const IUpstreamDialect &m_dialect;
    GateService &m_gates;
    Observers m_observers;
    std::unique_ptr<IUpstreamRegistry> m_registry;
    WakeTimer m_timer;
    ConfigurationPtr m_configuration;
};

} // namespace ivyspar
