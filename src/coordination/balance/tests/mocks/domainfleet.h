#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/admission/internal/demandestimate.h"
#include "coordination/admission/irootadmission.h"
#include "coordination/balance/idomainbalance.h"
#include "coordination/routing/routerfactory.h"
#include "state/internal/seededrandom.h"
#include "state/tests/mocks/simulatedtime.h"

namespace ivyspar {

struct ModelDomain
{
    DomainName name;
    std::size_t hosts = 0;
    /// Slots of the server on each host.
    std::uint32_t slots = 0;
    /// Calls per second of all callers of the domain together.
    double callsPerSecond = 0;
};

struct ModelOptions
{
    bool isBalanced = true;
    /// Entries admit requests by the loads that servers report.
    bool hasAdmission = false;
    Duration meanServiceTime = std::chrono::milliseconds(50);
    /// Time that each balance message takes.
    Duration newsDelay = std::chrono::milliseconds(1);
    Duration callDelay = std::chrono::milliseconds(1);
    Duration objective = std::chrono::seconds(1);
    DomainBalanceOptions balance;
    /// Size of an encoded message.
    std::function<std::size_t(const BalanceMessage &)> payloadBytes;
    /// Further services that each domain asks for and has; they only add to messages.
    std::size_t otherServices = 0;
};

struct ModelResult
{
    std::size_t calls = 0;
    std::size_t inTime = 0;
    std::size_t crossed = 0;

    double served() const { return static_cast<double>(inTime) / static_cast<double>(calls); }
    double crossing() const { return static_cast<double>(crossed) / static_cast<double>(calls); }
};

/// Daemons of several failure domains, each with a router, a domain balance and a server that works
/// on calls in order of arrival. One service, random arrivals and service times.
class DomainFleet
{
public:
    const ServiceName SERVICE{ "magazzino" };

    DomainFleet(const std::vector<ModelDomain> &domains, const ModelOptions &options)
        : m_options(options)
        , m_random(SEED)
        , m_time(START)
    {
        for (const ModelDomain &domain : domains) {
            for (std::size_t i = 0; i < domain.hosts; ++i) {
                addHost(domain, i);
            }
        }
        updateMembers();
    }

    /// Counts the calls that arrive within that time, and runs until they have ended or are late.
    void measure(Duration length, const std::function<void()> &each = {})
    {
        constexpr Duration STEP = std::chrono::milliseconds(100);
        m_result = {};
        m_isCounting = true;
        for (Duration passed{ 0 }; passed < length; passed += STEP) {
            run(STEP);
            if (each) {
                each();
            }
        }
        m_isCounting = false;
        run(m_options.objective);
    }
    const ModelResult &result() const { return m_result; }

    void run(Duration length) { m_time.run(length); }

    /// Loses balance messages and calls from one domain to the other.
    void cut(const DomainName &from, const DomainName &to) { m_cuts.insert({ from, to }); }
    void heal() { m_cuts.clear(); }
    void duplicateMessages() { m_copies = 2; }
    void setNewsDelay(Duration delay) { m_options.newsDelay = delay; }
    void setMembersOf(const DomainName &domain, const std::set<DomainName> &reachable)
    {
        m_reachable[domain] = reachable;
        updateMembers();
    }
    void setMembersToAll()
    {
        m_reachable.clear();
        updateMembers();
    }

    /// Ends the daemon's process; its server takes no more calls. Others see it as alive until
    /// `updateMembers`.
    void kill(const DaemonId &daemon) { m_hosts.at(daemon).isDown = true; }
    void updateMembers()
    {
        for (auto &[id, host] : m_hosts) {
            const std::vector<Member> members = membersSeenBy(host);
            host.balance->setMembers(m_time.now(), id, members);
            host.router->setMembers(m_time.now(), members);
            host.admission->setMembers(members);
        }
    }
    /// Starts all daemons anew.
    void restartAll()
    {
        for (auto &[id, host] : m_hosts) {
            host.balance = makeDomainBalance(m_options.balance);
            host.isDown = false;
        }
        updateMembers();
    }

    /// The daemon that adds up the reports of the domain, as the first of its daemons sees it.
    DaemonId summingDaemon(const DomainName &domain)
    {
        for (const auto &[to, count] : m_reportsTo) {
            if (m_hosts.at(to).domain == domain && !m_hosts.at(to).isDown) {
                return to;
            }
        }
        return DaemonId();
    }

    /// Share of the domain's calls that go to the other one; -1 if its calls are not divided.
    double share(const DomainName &from, const DomainName &to) const
    {
        for (const auto &[id, host] : m_hosts) {
            if (host.domain == from && !host.isDown) {
                return shareAt(host, to);
            }
        }
        return -1;
    }

    /// Mean and highest bytes of balance messages that a daemon sends in a second, with the headers
    /// of datagrams, over the time since the start.
    double meanBytesPerSecond() const
    {
        double sum = 0;
        for (const auto &[id, host] : m_hosts) {
            sum += static_cast<double>(host.bytesSent);
        }
        return sum / static_cast<double>(m_hosts.size()) / elapsedSeconds();
    }
    double highestBytesPerSecond() const
    {
        std::size_t highest = 0;
        for (const auto &[id, host] : m_hosts) {
            highest = std::max(highest, host.bytesSent);
        }
        return static_cast<double>(highest) / elapsedSeconds();
    }
    double highestBytesReceivedPerSecond() const
    {
        std::size_t highest = 0;
        for (const auto &[id, host] : m_hosts) {
            highest = std::max(highest, host.bytesReceived);
        }
        return static_cast<double>(highest) / elapsedSeconds();
    }
    std::size_t largestPayload() const { return m_largestPayload; }

    IDomainBalance &balance(const DaemonId &daemon) { return *m_hosts.at(daemon).balance; }

private:
    struct Call
    {
        TimePoint startedAt;
        DaemonId entry;
        bool isCounted = false;
        DemandShare admittedShare = WHOLE_DEMAND;
        std::vector<DaemonId> tried;
    };
    struct Host
    {
        DaemonId id;
        DomainName domain;
        std::uint32_t slots = 0;
        double callsPerSecond = 0;
        std::unique_ptr<IDomainBalance> balance;
        std::unique_ptr<IRouter> router;
        std::unique_ptr<IRootAdmission> admission;
        DemandEstimate demand{ DemandEstimateOptions() };
        std::uint32_t inFlight = 0;
        std::deque<std::function<void()>> queue;
        std::size_t bytesSent = 0;
        std::size_t bytesReceived = 0;
        bool isDown = false;
    };
    double elapsedSeconds() const
    {
        return toSeconds(std::chrono::duration_cast<Duration>(m_time.now() - START));
    }

    void after(Duration delay, std::function<void()> action)
    {
        m_time.schedule(delay, std::move(action));
    }

    Duration exponential(double meanSeconds)
    {
        const double seconds = -meanSeconds * std::log(1 - m_random.unit());
        return Duration(static_cast<Duration::rep>(seconds * 1e6) + 1);
    }

    void addHost(const ModelDomain &domain, std::size_t number)
    {
        Host host;
        host.id = DaemonId(domain.name.value() + '-' + std::to_string(number));
        host.domain = domain.name;
        host.slots = domain.slots;
        host.callsPerSecond = domain.callsPerSecond / static_cast<double>(domain.hosts);
        host.balance = makeDomainBalance(m_options.balance);
        RouterOptions router;
        router.domain = domain.name;
        host.router = makeRouter(router);
        host.admission = makeRootAdmission();
        const DaemonId id = host.id;
        const double callsPerSecond = host.callsPerSecond;
        m_hosts.emplace(id, std::move(host));
        after(Duration(static_cast<Duration::rep>(
                  m_random.below(static_cast<std::uint64_t>(m_options.balance.interval.count())))),
              [this, id] { tick(id); });
        if (callsPerSecond > 0) {
            after(exponential(1 / callsPerSecond), [this, id] { arrive(id); });
        }
    }

    std::vector<Member> membersSeenBy(const Host &viewer) const
    {
        const auto reachable = m_reachable.find(viewer.domain);
        std::vector<Member> members;
        for (const auto &[id, host] : m_hosts) {
            const bool isReachable =
                reachable == m_reachable.end() || reachable->second.count(host.domain) > 0;
            if (host.isDown || !isReachable) {
                continue;
            }
            Member member;
            member.id = id;
            member.domain = host.domain;
            if (host.slots > 0) {
                member.upstreams = { { SERVICE, host.slots, host.slots, false, {} } };
            }
            members.push_back(member);
        }
        return members;
    }

    double shareAt(const Host &host, const DomainName &to) const
    {
        const auto found = host.balance->shares().find(SERVICE);
        if (found == host.balance->shares().end()) {
            return -1;
        }
        for (const DomainShare &each : found->second.shares) {
            if (each.domain == to) {
                return each.share;
            }
        }
        return 0;
    }

    void tick(const DaemonId &id)
    {
        Host &host = m_hosts.at(id);
        after(m_options.balance.interval, [this, id] { tick(id); });
        if (host.isDown) {
            return;
        }
        host.balance->setCapacities({ { SERVICE, host.slots } });
        for (std::size_t i = 0; i < m_options.otherServices; ++i) {
            const ServiceName service("catalogue-" + std::to_string(i));
            host.balance->onCall(m_time.now(), service, WHOLE_DEMAND);
            host.balance->onAnswer(m_time.now(), service, m_options.meanServiceTime, USUAL_SPEED);
        }
        host.balance->tick(m_time.now());
        flush(host);
    }

    void flush(Host &host)
    {
        for (const OutgoingBalanceMessage &each : host.balance->takeOutgoing()) {
            if (std::holds_alternative<BalanceReport>(each.message)) {
                ++m_reportsTo[each.to];
            }
            const std::size_t bytes =
                m_options.payloadBytes ? m_options.payloadBytes(each.message) : 0;
            m_largestPayload = std::max(m_largestPayload, bytes);
            host.bytesSent += bytes + HEADER_BYTES;
            const bool isLost = m_cuts.count({ host.domain, m_hosts.at(each.to).domain }) > 0;
            for (int copy = 0; copy < m_copies && !isLost; ++copy) {
                after(m_options.newsDelay, [this, from = host.id, each, bytes] {
                    deliver(from, each, bytes + HEADER_BYTES);
                });
            }
        }
        if (m_options.isBalanced) {
            host.router->setShares(host.balance->shares());
        }
    }

    void deliver(const DaemonId &from, const OutgoingBalanceMessage &sent, std::size_t bytes)
    {
        Host &host = m_hosts.at(sent.to);
        host.bytesReceived += bytes;
        if (!host.isDown) {
            host.balance->receive(m_time.now(), from, sent.message);
            flush(host);
        }
    }

    void arrive(const DaemonId &id)
    {
        Host &host = m_hosts.at(id);
        after(exponential(1 / host.callsPerSecond), [this, id] { arrive(id); });
        if (host.isDown) {
            return;
        }
        m_result.calls += m_isCounting ? 1 : 0;
        if (m_options.hasAdmission && !host.admission->admit(m_time.now(), m_target)) {
            return;
        }
        const DemandShare share = m_options.hasAdmission
            ? host.admission->admittedShare(m_time.now(), m_target)
            : WHOLE_DEMAND;
        host.balance->onCall(m_time.now(), SERVICE, share);
        send(Call{ m_time.now(), id, m_isCounting, share, {} });
    }

    void send(Call call)
    {
        constexpr std::size_t MAX_ATTEMPTS = 3;
        Host &entry = m_hosts.at(call.entry);
        if (call.tried.size() >= MAX_ATTEMPTS) {
            return;
        }
        const RouteChoice choice =
            entry.router->choose(m_time.now(), { SERVICE, Rank(), call.tried, {} }, m_random);
        if (choice.daemon.value().empty()) {
            return;
        }
        entry.router->onSent(m_time.now(), SERVICE, choice.daemon);
        call.tried.push_back(choice.daemon);
        const Host &target = m_hosts.at(choice.daemon);
        const bool isCrossing = target.domain != entry.domain;
        if (target.isDown || m_cuts.count({ entry.domain, target.domain }) > 0
            || m_cuts.count({ target.domain, entry.domain }) > 0) {
            after(m_options.callDelay, [this, call = std::move(call), to = choice.daemon] {
                m_hosts.at(call.entry)
                    .router->onEnd(m_time.now(), SERVICE, to, RouteFeedback::Unreachable,
                                   m_options.callDelay, SpeedShare());
                send(call);
            });
            return;
        }
        m_result.crossed += call.isCounted && isCrossing ? 1 : 0;
        after(m_options.callDelay, [this, call = std::move(call), to = choice.daemon] {
            Host &server = m_hosts.at(to);
            server.demand.advance(m_time.now(),
                                  static_cast<double>(server.inFlight + server.queue.size()),
                                  server.slots);
            server.demand.onArrival(m_time.now(), call.admittedShare, m_options.meanServiceTime);
            server.queue.push_back([this, call, to] { work(call, to); });
            startNext(server);
        });
    }

    void startNext(Host &server)
    {
        if (server.inFlight >= server.slots || server.queue.empty()) {
            return;
        }
        ++server.inFlight;
        const auto start = std::move(server.queue.front());
        server.queue.pop_front();
        start();
    }

    void work(const Call &call, const DaemonId &to)
    {
        const Duration slotTime = exponential(toSeconds(m_options.meanServiceTime));
        after(slotTime, [this, call, to, slotTime] {
            Host &server = m_hosts.at(to);
            server.demand.advance(m_time.now(),
                                  static_cast<double>(server.inFlight + server.queue.size()),
                                  server.slots);
            --server.inFlight;
            startNext(server);
            LoadReport load;
            load.inFlight = server.inFlight;
            load.queued = static_cast<std::uint32_t>(server.queue.size());
            load.limit = server.slots;
            load.demand = server.demand.load(m_time.now(), server.slots);
            after(m_options.callDelay,
                  [this, call, to, slotTime, load] { end(call, to, slotTime, load); });
        });
    }

    void end(const Call &call, const DaemonId &to, Duration slotTime, const LoadReport &load)
    {
        Host &entry = m_hosts.at(call.entry);
        const auto took = std::chrono::duration_cast<Duration>(m_time.now() - call.startedAt);
        entry.router->onEnd(m_time.now(), SERVICE, to, RouteFeedback::Answered, took, SpeedShare());
        entry.router->onLoad(m_time.now(), SERVICE, to, load);
        const TreeUsage usage{ { SERVICE, slotTime, load.demand, LossShare(), 1 } };
        entry.admission->onAttemptEnd(m_time.now(), m_target, usage, true);
        entry.admission->onRequestEnd(m_target, RootResult::Success);
        entry.balance->onAnswer(m_time.now(), SERVICE, slotTime, USUAL_SPEED);
        m_result.inTime += call.isCounted && took <= m_options.objective ? 1 : 0;
    }

    /// IP and UDP headers, and the envelope of a control message.
    static constexpr std::size_t HEADER_BYTES = 28 + 24;

    static constexpr std::uint64_t SEED = 20261203;
    static constexpr TimePoint START{ std::chrono::seconds(1000) };

    ModelOptions m_options;
    SeededRandom m_random;
    SimulatedTime m_time;
    std::map<DaemonId, Host> m_hosts;
    std::set<std::pair<DomainName, DomainName>> m_cuts;
    std::map<DomainName, std::set<DomainName>> m_reachable;
    std::map<DaemonId, std::size_t> m_reportsTo;
    std::size_t m_largestPayload = 0;
    int m_copies = 1;
    const RootTarget m_target{ RuleName("ricerca"), SERVICE, Priority(50) };
    ModelResult m_result;
    bool m_isCounting = false;
};

} // namespace ivyspar
