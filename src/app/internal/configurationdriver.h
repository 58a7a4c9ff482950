#pragma once

#include <functional>
#include <memory>
#include <string>

#include "app/internal/configurationfollower.h"
#include "app/internal/membershipdriver.h"
#include "app/settings.h"

namespace ivyspar {

/// The configuration on the control thread of a daemon: wires the follower to membership and to the
/// links of the traffic thread.
class ConfigurationDriver
{
public:
    using Send = std::function<void(DaemonId, Endpoint, std::string)>;

    /// All references outlive the driver.
    ConfigurationDriver(const DaemonSettings &settings, IEventLoop &loop, ILogService &log,
                        IRandom &random, const MembershipDriver &membership, Send send,
                        ConfigurationFollowerEvents events);
    ~ConfigurationDriver();

    void start();
    /// Suspends until nothing of it runs any more; before destruction, once started.
    void stop();
    /// False if the payload is not for the configuration.
    bool receive(const DaemonId &from, const std::string &payload);
    ConfigurationStatus status() const;

private:
    class Exchange;

    std::unique_ptr<IConfigurationReader> m_reader;
    std::unique_ptr<IControlExchange> m_exchange;
    std::unique_ptr<ConfigurationFollower> m_follower;
};

} // namespace ivyspar
