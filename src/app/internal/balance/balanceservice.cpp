#include "app/internal/balance/balanceservice.h"

#include <unordered_map>
#include <utility>

#include "protocol/balanceexchange.h"

namespace ivyspar {

namespace {

/// Value of the metric while no sums are in use.
constexpr std::int64_t NO_NEWS = -1;

double capacityOf(const GateStatus &gate)
{
    if (gate.load.draining || gate.notice.isLeaving) {
        return 0;
    }
    const SpeedShare speed = gate.load.speed == SpeedShare() ? USUAL_SPEED : gate.load.speed;
    return static_cast<double>(gate.load.limit) * static_cast<double>(speed.value())
        / static_cast<double>(USUAL_SPEED.value());
}

} // namespace

BalanceService::BalanceService(IEventLoop &loop, IRandom &random, IRouter &router,
                               Observers observers, Send send, Gates gates,
                               const BalanceServiceOptions &options)
    : m_loop(loop)
    , m_random(random)
    , m_router(router)
    , m_observers(observers)
    , m_send(std::move(send))
    , m_gates(std::move(gates))
    , m_options(options)
    , m_balance(makeDomainBalance(options.balance))
{
    m_observers.metrics.set(Gauge::BalanceNewsAgeMillis, NO_NEWS);
}

BalanceService::~BalanceService()
{
    m_loop.cancelTimer(m_timer);
}

void BalanceService::setMembers(const DaemonId &self, const std::vector<Member> &members)
{
    if (!m_options.isEnabled) {
        return;
    }
    m_balance->setMembers(m_loop.now(), self, members);
    m_router.setShares(m_balance->shares());
    start();
}

/// Daemons that start together do not all report in the same moment.
void BalanceService::start()
{
    if (std::exchange(m_isStarted, true)) {
        return;
    }
    const auto interval = static_cast<std::uint64_t>(m_options.balance.interval.count());
    armTick(Duration(static_cast<Duration::rep>(m_random.below(interval))));
}

void BalanceService::armTick(Duration delay)
{
    m_timer = m_loop.callLater(delay, [this] { tick(); });
}

void BalanceService::tick()
{
    armTick(m_options.balance.interval);
    measureCapacities();
    m_balance->tick(m_loop.now());
    sendAll();
    const std::optional<Duration> age = m_balance->newsAge(m_loop.now());
    const auto millis = [](Duration each) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(each).count();
    };
    m_observers.metrics.set(Gauge::BalanceNewsAgeMillis, age ? millis(*age) : NO_NEWS);
}

void BalanceService::measureCapacities()
{
    std::unordered_map<ServiceName, double> capacities;
    for (const GateStatus &gate : m_gates()) {
        capacities[gate.service] += capacityOf(gate);
    }
    m_balance->setCapacities(std::move(capacities));
}

void BalanceService::receive(const DaemonId &from, const std::string &payload)
{
    const auto message = decodeBalanceMessage(payload);
    if (!message || !m_options.isEnabled) {
        return;
    }
    m_balance->receive(m_loop.now(), from, *message);
    sendAll();
}

void BalanceService::sendAll()
{
    for (const OutgoingBalanceMessage &each : m_balance->takeOutgoing()) {
        m_observers.metrics.add(Counter::BalanceMessages);
        m_send(each.to, encodeBalanceMessage(each.message));
    }
    m_router.setShares(m_balance->shares());
}

BalanceOverview BalanceService::overview() const
{
    const TimePoint now = m_loop.now();
    return { m_balance->statuses(now), m_balance->newsAge(now) };
}

void BalanceService::onCall(const ServiceName &service, DemandShare admittedShare)
{
    m_balance->onCall(m_loop.now(), service, admittedShare);
}

void BalanceService::onAnswer(const ServiceName &service, Duration slotTime, SpeedShare speed)
{
    m_balance->onAnswer(m_loop.now(), service, slotTime, speed);
}

} // namespace ivyspar
