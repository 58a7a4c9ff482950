#include "app/internal/gate/upstreammonitor.h"

#include <utility>

#include "coordination/upstreams/upstreamregistryfactory.h"

namespace ivyspar {

namespace {

constexpr Duration HEALTH_TIMEOUT = std::chrono::seconds(1);
constexpr std::uint16_t OK = 200;

const char *toText(UpstreamVerb verb)
{
    switch (verb) {
    case UpstreamVerb::Serve:
        return "serve";
    case UpstreamVerb::Stop:
        return "stop";
    case UpstreamVerb::Check:
        return "check";
    }
    return "";
}

} // namespace

UpstreamMonitor::UpstreamMonitor(IEventLoop &loop, IHttpClient &client,
                                 const IUpstreamDialect &dialect, GateService &gates,
                                 Observers observers)
    : m_loop(loop)
    , m_client(client)
    , m_dialect(dialect)
    , m_gates(gates)
    , m_observers(observers)
    , m_registry(makeUpstreamRegistry(UpstreamRegistryOptions()))
    , m_timer(loop, [this] { perform(m_registry->tick(m_loop.now())); })
{
    m_gates.setOnContactFailure([this](const UpstreamRun &run) {
        perform(m_registry->onContactFailure(m_loop.now(), run));
    });
}

void UpstreamMonitor::setConfiguration(const ConfigurationPtr &configuration)
{
    m_configuration = configuration;
}

void UpstreamMonitor::onReport(const UpstreamReport &report)
{
    if (!report.isVerifiable) {
        // No health check can confirm the run, so the report is used as it is.
        announce(report);
        return;
    }
    perform(m_registry->onReport(m_loop.now(), report));
}

void UpstreamMonitor::perform(const UpstreamActions &actions)
{
    for (const UpstreamAction &action : actions) {
        record(action);
        switch (action.verb) {
        case UpstreamVerb::Serve:
            announce(action.report);
            break;
        case UpstreamVerb::Stop:
            m_gates.withdraw(action.report.service, action.report.run, action.isPlanned);
            break;
        case UpstreamVerb::Check:
            m_loop.spawn([this, report = action.report] { check(report); });
            break;
        }
    }
    m_timer.wakeAt(m_registry->nextTick());
}

void UpstreamMonitor::announce(const UpstreamReport &report)
{
    Announcement announcement;
    announcement.info.service = report.service;
    announcement.info.slots = report.slots;
    announcement.info.connections = report.connections > 0 ? report.connections : report.slots;
    announcement.info.draining = report.phase != UpstreamPhase::Ready;
    announcement.info.coldLeft = report.coldLeft;
    announcement.info.version = report.version;
    announcement.endpoint = report.endpoint;
    announcement.run = report.run;
    m_gates.announce(announcement);
}

void UpstreamMonitor::check(const UpstreamReport &report)
{
    const UpstreamHealth health = fetchHealth(report);
    perform(m_registry->onHealth(m_loop.now(), report.run, health));
}

UpstreamHealth UpstreamMonitor::fetchHealth(const UpstreamReport &report)
{
    UpstreamHealth health;
    health.isSilent = true;
    const ServiceSpec *service =
        m_configuration ? findService(m_configuration->inventory, report.service) : nullptr;
    if (!service || service->healthPath.empty()) {
        return health;
    }
    const HttpRequest request{ "GET", service->healthPath, {}, {} };
    const Duration delay = m_gates.reserveHealthCheck(report.service, report.run);
    if (delay > Duration::zero()) {
        m_loop.sleepFor(delay);
    }
    const TimePoint sentAt = m_loop.now();
    const HttpResult result = m_client.exchange(report.endpoint, request, HEALTH_TIMEOUT, {});
    if (!result) {
        return health;
    }
    health.isSilent = false;
    health.isHealthy = result->status == OK;
    health.instance = m_dialect.readInstance(*result);
    if (health.instance == report.run.instance) {
        m_gates.onHealthResponse(report.service, report.run, sentAt, *result);
    }
    return health;
}

void UpstreamMonitor::record(const UpstreamAction &action)
{
    if (!m_observers.decisions.isEnabled()) {
        return;
    }
    Decision decision;
    decision.kind = DecisionKind::Upstream;
    decision.importance = Importance::Essential;
    decision.service = action.report.service;
    decision.choice = action.report.run.instance.value();
    decision.outcome = toText(action.verb);
    decision.reason = action.reason;
    decision.inputs = { { "sequence", static_cast<double>(action.report.sequence) },
                        { "slots", static_cast<double>(action.report.slots) } };
    m_observers.decisions.write(std::move(decision));
}

} // namespace ivyspar
