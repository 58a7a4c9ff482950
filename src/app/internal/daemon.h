#pragma once

#include <future>
#include <memory>
#include <thread>

#include "app/daemonlogs.h"
#include "app/internal/control/controlnode.h"
#include "app/internal/trafficnode.h"
#include "app/iplatform.h"
#include "app/settings.h"
#include "transport/ieventloop.h"

namespace ivyspar {

/// The daemon of one host: a traffic thread, a control thread, and the main thread that waits for
/// signals. The threads communicate only by posting tasks to each other's event loops.
class Daemon
{
public:
    Daemon(DaemonSettings settings, const IPlatform &platform, IMetrics &metrics,
           IDaemonLogs &logs);
    ~Daemon();

    /// Runs until SIGTERM or SIGINT. Returns the exit code.
    int run();

private:
    RetVal<ListeningEndpoints> startTraffic();
    RetVal<Endpoint> startControl(const ListeningEndpoints &bound);
    void runTraffic(std::promise<RetVal<ListeningEndpoints>> &started);
    void runControl(const ListeningEndpoints &bound, std::promise<RetVal<Endpoint>> &started);
    Member makeOwnMember(const ListeningEndpoints &bound) const;
    TrafficEvents makeTrafficEvents();
    TrafficPort makeTrafficPort();
    void postToTraffic(std::function<void(TrafficNode &)> task);
    void postToControl(std::function<void(ControlNode &)> task);
    /// Runs `task` in a fiber of the loop and waits for its end.
    static void runAndWait(IEventLoop &loop, const std::function<void()> &task);
    /// Handles signals and settings changes until a stop signal arrives.
    void waitForStop();
    void logLifecycle(LogLevel level, const char *outcome, const std::string &detail = {});
    void onUncaughtException(const std::string &text);
    void reload();
    bool drain();
    void stopThreads();
    Ret writeReady(const ListeningEndpoints &bound) const;

    DaemonSettings m_settings;
    const IPlatform &m_platform;
    Observers m_observers;
    DaemonIdentity m_self;
    /// Written by the control thread, read by the traffic thread.
    ConfirmationTime m_confirmation;
    std::unique_ptr<IEventLoop> m_trafficLoop;
    std::unique_ptr<IEventLoop> m_controlLoop;
    /// Each is owned by its thread, and null before the thread's start and after its end.
    std::unique_ptr<TrafficNode> m_traffic;
    std::unique_ptr<ControlNode> m_control;
    std::thread m_trafficThread;
    std::thread m_controlThread;
};

} // namespace ivyspar
