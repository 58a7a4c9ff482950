#include "app/internal/daemon.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <utility>

#include <malloc.h>

#include "app/daemon.h"
#include "app/daemonlogs.h"
#include "app/internal/crashreport.h"
#include "state/metricsfactory.h"
#include "transport/transportfactory.h"

namespace ivyspar {

namespace {

constexpr int EXIT_RUNTIME_ERROR = 1;
/// Time for the final membership message to leave this host before the process exits.
constexpr Duration GOODBYE_TIME = std::chrono::milliseconds(200);

Incarnation currentIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(
        static_cast<std::uint64_t>(std::chrono::duration_cast<Duration>(now).count()));
}

/// Returns large blocks to the system when they are freed. By default the threshold grows with the
/// blocks that are freed, and the bodies of one large transfer would stay resident for good.
void limitRetainedMemory()
{
    constexpr int LARGE_BLOCK_BYTES = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
}

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

Daemon::Daemon(DaemonSettings settings, const IPlatform &platform, IMetrics &metrics,
               IDaemonLogs &logs)
    : m_settings(std::move(settings))
    , m_platform(platform)
    , m_observers{ logs.log(), logs.decisions(), metrics }
    , m_self{ m_settings.id, currentIncarnation(), m_settings.domain }
    , m_trafficLoop(makeEventLoop())
    , m_controlLoop(makeEventLoop())
{
    for (IEventLoop *loop : { m_trafficLoop.get(), m_controlLoop.get() }) {
        loop->setFailureHandler([this](const std::string &text) { onUncaughtException(text); });
    }
}

Daemon::~Daemon() = default;

int Daemon::run()
{
    RetVal<ListeningEndpoints> bound = startTraffic();
    RetVal<Endpoint> operators =
        bound ? startControl(*bound) : RetVal<Endpoint>(tl::unexpected<Error>(bound.error()));
    if (!operators) {
        std::fprintf(stderr, "ivyspar: %s\n", operators.error().text.c_str());
        stopThreads();
        return EXIT_RUNTIME_ERROR;
    }
    bound->operators = *operators;
    if (const Ret written = writeReady(*bound); !written) {
        std::fprintf(stderr, "ivyspar: %s\n", written.error().text.c_str());
        stopThreads();
        return EXIT_RUNTIME_ERROR;
    }
    logLifecycle(LogLevel::Info, "started");
    waitForStop();
    logLifecycle(LogLevel::Info, "stopping");
    const bool isDrained = drain();
    logLifecycle(LogLevel::Info,
                 isDrained ? "drained" : "calls were still running when the time was over");
    stopThreads();
    return isDrained ? 0 : EXIT_RUNTIME_ERROR;
}

void Daemon::waitForStop()
{
    const sigset_t signals = handledSignals();
    constexpr timespec SETTINGS_POLL{ 1, 0 };
    while (true) {
        const int number = sigtimedwait(&signals, nullptr, &SETTINGS_POLL);
        if (number == SIGTERM || number == SIGINT) {
            return;
        }
        if (number == SIGHUP || m_platform.haveSettingsChanged()) {
            reload();
        }
    }
}

/// Called by both threads.
void Daemon::onUncaughtException(const std::string &text)
{
    m_observers.metrics.add(Counter::UncaughtExceptions);
    logLifecycle(LogLevel::Error, "exception", text);
}

/// Writes an event to both the message log and the decision log.
void Daemon::logLifecycle(LogLevel level, const char *outcome, const std::string &detail)
{
    m_observers.log.write(level, detail.empty() ? outcome : std::string(outcome) + ": " + detail);
    if (!m_observers.decisions.isEnabled()) {
        return;
    }
    Decision decision;
    decision.kind = DecisionKind::Lifecycle;
    decision.importance = Importance::Essential;
    decision.outcome = outcome;
    decision.detail = detail;
    m_observers.decisions.write(std::move(decision));
}

/// Applies only the settings that may change at run time. Settings with errors are ignored, as the
/// file may be only partly written.
void Daemon::reload()
{
    const auto read = m_platform.rereadSettings();
    if (!read) {
        logLifecycle(LogLevel::Info, "reload", "settings cannot be changed while the daemon runs");
        return;
    }
    if (!read->errors.empty()) {
        logLifecycle(LogLevel::Error, "reload",
                     "the changed settings are ignored: " + read->errors.front());
        return;
    }
    m_settings.hostService = read->settings.hostService;
    logLifecycle(LogLevel::Info, "reload",
                 "the service of this host is " + m_settings.hostService.value());
    postToTraffic([service = m_settings.hostService](TrafficNode &traffic) {
        traffic.setHostService(service);
    });
}

RetVal<ListeningEndpoints> Daemon::startTraffic()
{
    std::promise<RetVal<ListeningEndpoints>> started;
    m_trafficThread = std::thread([this, &started] { runTraffic(started); });
    return started.get_future().get();
}

RetVal<Endpoint> Daemon::startControl(const ListeningEndpoints &bound)
{
    std::promise<RetVal<Endpoint>> started;
    m_controlThread = std::thread([this, &bound, &started] { runControl(bound, started); });
    return started.get_future().get();
}

void Daemon::runTraffic(std::promise<RetVal<ListeningEndpoints>> &started)
{
    const CrashReportStack reportStack;
    m_traffic = std::make_unique<TrafficNode>(*m_trafficLoop, m_settings, m_platform, m_self,
                                              makeTrafficEvents(), m_confirmation, m_observers);
    started.set_value(m_traffic->listen());
    m_trafficLoop->run();
    m_trafficLoop->endFibers();
    m_traffic.reset();
}

void Daemon::runControl(const ListeningEndpoints &bound, std::promise<RetVal<Endpoint>> &started)
{
    const CrashReportStack reportStack;
    m_control = std::make_unique<ControlNode>(*m_controlLoop, m_settings, m_platform,
                                              makeOwnMember(bound), makeTrafficPort(), m_observers);
    const auto endpoint = m_control->listen(bound.peer);
    m_control->start();
    started.set_value(endpoint);
    m_controlLoop->run();
    m_controlLoop->endFibers();
    m_control.reset();
}

Member Daemon::makeOwnMember(const ListeningEndpoints &bound) const
{
    Member self;
    self.id = m_self.id;
    self.incarnation = m_self.incarnation;
    self.domain = m_self.domain;
    self.peerEndpoint = m_settings.peerAdvertise;
    if (self.peerEndpoint.port == 0) {
        self.peerEndpoint.port = bound.peer.port;
    }
    return self;
}

TrafficEvents Daemon::makeTrafficEvents()
{
    TrafficEvents events;
    events.onUpstreams = [this](std::vector<UpstreamInfo> upstreams) {
        postToControl([upstreams = std::move(upstreams)](ControlNode &control) {
            control.setUpstreams(upstreams);
        });
    };
    events.onControlMessage = [this](ControlMessage message) {
        postToControl(
            [message = std::move(message)](ControlNode &control) { control.receive(message); });
    };
    events.onUnreachable = [this](DaemonId daemon) {
        postToControl(
            [daemon = std::move(daemon)](ControlNode &control) { control.onUnreachable(daemon); });
    };
    events.onOutgoingPayload = [this](DaemonId to, std::string payload) {
        postToControl([to = std::move(to), payload = std::move(payload)](ControlNode &control) {
            control.send(to, payload);
        });
    };
    events.onUnsavedSuspects = [this] {
        postToControl([](ControlNode &control) { control.onUnsavedSuspects(); });
    };
    return events;
}

TrafficPort Daemon::makeTrafficPort()
{
    TrafficPort port;
    port.setMembers = [this](std::vector<Member> members) {
        postToTraffic(
            [members = std::move(members)](TrafficNode &traffic) { traffic.setMembers(members); });
    };
    port.setConfiguration = [this](ConfigurationPtr configuration) {
        postToTraffic([configuration = std::move(configuration)](TrafficNode &traffic) {
            traffic.setConfiguration(configuration);
        });
    };
    port.send = [this](DaemonId target, Endpoint endpoint, std::string payload) {
        postToTraffic([target = std::move(target), endpoint = std::move(endpoint),
                       payload = std::move(payload)](TrafficNode &traffic) {
            traffic.sendControl(target, endpoint, payload);
        });
    };
    port.fetchStatus = [this](std::function<void(TrafficStatus)> callback) {
        postToTraffic(
            [callback = std::move(callback)](TrafficNode &traffic) { callback(traffic.status()); });
    };
    port.receiveSuspects = [this](DaemonId from, std::string payload) {
        postToTraffic([from = std::move(from), payload = std::move(payload)](TrafficNode &traffic) {
            traffic.receiveSuspects(from, payload);
        });
    };
    port.receiveAccounts = [this](DaemonId from, std::string payload) {
        postToTraffic([from = std::move(from), payload = std::move(payload)](TrafficNode &traffic) {
            traffic.receiveAccounts(from, payload);
        });
    };
    port.receiveBalance = [this](DaemonId from, std::string payload) {
        postToTraffic([from = std::move(from), payload = std::move(payload)](TrafficNode &traffic) {
            traffic.receiveBalance(from, payload);
        });
    };
    port.syncSuspects = [this](std::vector<SuspectRecord> stored,
                               std::function<void(SuspectStoreChanges)> callback) {
        postToTraffic([stored = std::move(stored), callback = std::move(callback)](
                          TrafficNode &traffic) { callback(traffic.syncSuspects(stored)); });
    };
    port.setDirectorySize = [this](std::size_t daemons) {
        postToTraffic([daemons](TrafficNode &traffic) { traffic.setDirectorySize(daemons); });
    };
    port.confirm = [this](TimePoint asOf) { m_confirmation.advance(asOf); };
    port.liftQuarantine = [this](Fingerprint fingerprint, std::function<void(bool)> callback) {
        postToTraffic([fingerprint = std::move(fingerprint), callback = std::move(callback)](
                          TrafficNode &traffic) { callback(traffic.liftQuarantine(fingerprint)); });
    };
    return port;
}

void Daemon::postToTraffic(std::function<void(TrafficNode &)> task)
{
    m_trafficLoop->post([this, task = std::move(task)] {
        if (m_traffic) {
            task(*m_traffic);
        }
    });
}

void Daemon::postToControl(std::function<void(ControlNode &)> task)
{
    m_controlLoop->post([this, task = std::move(task)] {
        if (m_control) {
            task(*m_control);
        }
    });
}

void Daemon::runAndWait(IEventLoop &loop, const std::function<void()> &task)
{
    std::promise<void> done;
    loop.post([&] {
        loop.spawn([&] {
            loop.runGuarded(task);
            done.set_value();
        });
    });
    done.get_future().wait();
}

/// The server on this host keeps working while its daemon stops, and is reachable only through this
/// daemon. So calls to it are refused last: first callers move to other daemons, then their
/// requests complete, and only then the other daemons are told that this one is leaving. Refusing
/// calls from the start would make the server unavailable for seconds, and a rolling restart of all
/// daemons would reduce the capacity of each service.
bool Daemon::drain()
{
    const TimePoint end = m_trafficLoop->now() + m_settings.leaveTime + m_settings.drainTimeout;
    runAndWait(*m_controlLoop, [this] { m_control->setUnready(); });
    runAndWait(*m_trafficLoop, [this, end] {
        m_traffic->startLeaving(end);
        m_trafficLoop->sleepFor(m_settings.leaveTime);
        m_traffic->refuseCallers(end);
        m_traffic->waitForCallers(end);
    });
    // Other daemons are told before calls are refused; calls that they sent before that are refused
    // as not run and are routed elsewhere.
    runAndWait(*m_controlLoop, [this] { m_control->startLeaving(); });
    bool isDrained = true;
    runAndWait(*m_trafficLoop, [&] { isDrained = m_traffic->drainCalls(end); });
    runAndWait(*m_controlLoop, [this] {
        m_control->leave();
        m_controlLoop->sleepFor(GOODBYE_TIME);
    });
    runAndWait(*m_trafficLoop, [this] { m_traffic->closeLinks(GOODBYE_TIME); });
    return isDrained;
}

void Daemon::stopThreads()
{
    // Fibers of the control thread must end while their loop still runs, also if the start failed.
    if (m_controlThread.joinable()) {
        runAndWait(*m_controlLoop, [this] { m_control->stop(GOODBYE_TIME); });
    }
    m_trafficLoop->stop();
    m_controlLoop->stop();
    for (std::thread *thread : { &m_controlThread, &m_trafficThread }) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

Ret Daemon::writeReady(const ListeningEndpoints &bound) const
{
    if (m_settings.readyFile.empty()) {
        return {};
    }
    return writeReadyFile(m_settings.readyFile, bound);
}

void holdSignals()
{
    const sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int runDaemon(const DaemonSettings &settings, const IPlatform &platform)
{
    // Before any thread starts, so that all threads inherit the mask and only sigtimedwait receives
    // these signals.
    holdSignals();
    limitRetainedMemory();
    installCrashReport(settings.id);
    const auto metrics = makeMetrics();
    LogSettings logSettings;
    logSettings.daemon = settings.id;
    logSettings.level = settings.logLevel;
    logSettings.decisionLog = settings.decisionLog;
    const auto logs = openDaemonLogs(logSettings, *metrics);
    if (!logs) {
        std::fprintf(stderr, "ivyspar: %s\n", logs.error().text.c_str());
        return EXIT_RUNTIME_ERROR;
    }
    Daemon daemon(settings, platform, *metrics, **logs);
    return daemon.run();
}

} // namespace ivyspar
