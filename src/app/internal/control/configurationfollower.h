#pragma once

#include <functional>
#include <memory>
#include <string>

#include "app/icontrolexchange.h"
#include "app/internal/control/iconfigurationdriver.h"
#include "coordination/configuration/iconfigurationstatemachine.h"
#include "coordination/configuration/internal/pollschedule.h"
#include "coordination/configuration/internal/snapshotschedule.h"
#include "protocol/configurationexchange.h"
#include "protocol/iconfigurationreader.h"
#include "state/configuration.h"
#include "transport/ieventloop.h"
#include "transport/ilogservice.h"
#include "transport/oneshot.h"

namespace ivyspar {

/// Stream on which operators publish changes of the configuration.
constexpr char CONFIGURATION_STREAM[] = "configuration";

struct ConfigurationFollowerSettings
{
    DaemonId self;
    DomainName domain;
    PollSettings poll;
    SnapshotSettings snapshot;
    /// Mean time between offers to a random peer; each interval is drawn from 0.5 to 1.5 times.
    Duration offerInterval = std::chrono::seconds(1);
    /// Number of random peers to which a new version is offered at once.
    std::uint32_t changeFanout = 6;
};

/// Keeps this daemon's configuration up to date: follows the stream in the platform's log, applies
/// its records, exchanges versions with other daemons, and renews the snapshot in the log. Runs in
/// two fibers of the control thread.
class ConfigurationFollower : public IConfigurationDriver
{
public:
    ConfigurationFollower(ConfigurationFollowerSettings settings, IEventLoop &loop,
                          ILogService &log, const IConfigurationReader &reader,
                          IControlExchange &exchange, IRandom &random, ConfigurationEvents events);
    ~ConfigurationFollower() override;

    void start() override;
    /// Suspends until both fibers have ended, or for 1 min at most. Required before destruction
    /// once started.
    void stop() override;
    /// Handles a control payload of another daemon. Returns false if it is no configuration
    /// message.
    bool receive(const DaemonId &from, const std::string &payload) override;
    ConfigurationStatus status() const override;

private:
    /// A pause of a fiber that `stop` can end.
    using Pause = std::unique_ptr<OneShot<bool>>;

    void spawn(void (ConfigurationFollower::*body)());
    void pause(Pause &pause, Duration duration);
    void followLog();
    void offerVersions();

    Duration readOnce();
    void applyPage(const LogPage &page);
    void applyRecord(const LogRecord &record);
    void renewSnapshot();
    void setLogError(const std::string &text);

    void handle(const DaemonId &from, const ConfigurationOffer &offer);
    void handle(const DaemonId &from, const ConfigurationRequest &request);
    void handle(const DaemonId &from, const ConfigurationPush &push);
    void send(const DaemonId &to, const ConfigurationMessage &message);
    void offerToRandomPeers(std::uint32_t count);
    bool shouldRequest(const ConfigurationOffer &offer);

    ConfigurationOffer makeOffer() const;
    const AcceptedConfiguration *heldConfiguration() const;
    void activateCurrent();
    std::string describe(const AcceptedConfiguration &accepted) const;
    void notice(const std::string &text) const;

    ConfigurationFollowerSettings m_settings;
    IEventLoop &m_loop;
    ILogService &m_log;
    const IConfigurationReader &m_reader;
    IControlExchange &m_exchange;
    IRandom &m_random;
    ConfigurationEvents m_events;

    std::unique_ptr<IConfigurationStateMachine> m_stateMachine;
    PollSchedule m_poll;
    SnapshotSchedule m_snapshot;
    /// The accepted version that was last passed to the reader, whether or not it could be read.
    ConfigurationVersion m_readVersion;
    std::uint64_t m_readDigest = 0;
    ConfigurationPtr m_inForce;
    std::string m_unreadable;
    std::string m_logError;
    std::uint64_t m_snapshotsAppended = 0;
    ConfigurationVersion m_requestedVersion;
    TimePoint m_requestedAt;

    bool m_isStopped = false;
    int m_runningFibers = 0;
    Pause m_pollPause;
    Pause m_offerPause;
    Pause m_ended;
};

} // namespace ivyspar
