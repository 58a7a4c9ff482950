#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/accounts/iaccountlimits.h"
#include "state/internal/seededrandom.h"

namespace ivyspar {

/// Simulates the account limits of many daemons under a fake clock, with message delay, message
/// loss and network partitions. Each daemon detects departed and returned members after a random
/// delay of its own. Admitted requests are compared with an exact token bucket and with the upper
/// bound.
class AccountFleet
{
public:
    static constexpr Duration STEP = std::chrono::milliseconds(1);

    struct Parameters
    {
        std::size_t daemons = 76;
        std::size_t domains = 4;
        AccountLimitOptions options;
        double lossShare = 0;
        Duration delay = std::chrono::milliseconds(1);
        /// Bounds of the delay until a daemon detects a change of members.
        Duration minDetectionTime = std::chrono::milliseconds(800);
        Duration maxDetectionTime = std::chrono::milliseconds(1800);
        /// The bound: within any window, rate and burst may be exceeded by the overage (a fraction)
        /// plus the slack (requests).
        Duration window = std::chrono::seconds(5);
        double overage = 0.1;
        double slack = 20;
    };

    /// A client account and the load of its callers.
    struct Account
    {
        AccountName name;
        AccountLimit limit;
        /// Requests per second of all callers, and the daemons of these.
        double demand = 0;
        std::vector<std::size_t> callers;

        /// Requests sent, those that an exact token bucket would admit, and those admitted.
        std::uint64_t asked = 0;
        std::uint64_t expected = 0;
        std::uint64_t admitted = 0;
        /// Largest excess over the bound in any window, by the largest limit within the window;
        /// negative if all windows were below it.
        double maxOverBound = -1e9;
        double exactTokens = 0;
        TimePoint exactAt;
        std::deque<TimePoint> recent;
        /// The limit that the bound is based on: a lower one applies one window after the change.
        double boundRate = 0;
        double boundBurst = 0;
        TimePoint boundUntil;
        double nextBoundRate = 0;
        double nextBoundBurst = 0;
    };

    AccountFleet(const Parameters &parameters, std::uint64_t seed)
        : m_parameters(parameters)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < parameters.daemons; ++i) {
            m_nodes.push_back(std::make_unique<Node>());
            start(i);
        }
        for (std::size_t i = 0; i < parameters.daemons; ++i) {
            updateMembersAt(i);
        }
    }

    void addAccount(Account account)
    {
        account.exactTokens = account.limit.burst;
        account.exactAt = m_now;
        account.boundRate = account.limit.rate;
        account.boundBurst = account.limit.burst;
        m_accounts.push_back(std::move(account));
        for (const auto &node : m_nodes) {
            node->limits->setLimits(m_now, limits());
        }
    }

    /// Takes effect at each daemon after a random time of at most `within`.
    void setLimit(std::size_t index, AccountLimit limit, Duration within)
    {
        Account &account = m_accounts[index];
        const bool isLower = limit.rate < account.limit.rate;
        account.limit = limit;
        if (isLower) {
            account.nextBoundRate = limit.rate;
            account.nextBoundBurst = limit.burst;
            account.boundUntil = m_now + within + m_parameters.window;
        } else {
            account.boundRate = limit.rate;
            account.boundBurst = limit.burst;
            account.boundUntil = TimePoint();
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            m_changes.emplace(m_now + randomDuration(Duration::zero(), within), i);
        }
    }
    void setDemand(std::size_t index, double demand) { m_accounts[index].demand = demand; }

    /// From now on, all messages between these daemons and the others are lost. Replaces the
    /// previous partition; none if empty.
    void partition(std::set<std::size_t> daemons)
    {
        m_partitioned = std::move(daemons);
        updateMembers();
    }
    std::set<std::size_t> domain(std::size_t index) const
    {
        std::set<std::size_t> daemons;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (i % m_parameters.domains == index) {
                daemons.insert(i);
            }
        }
        return daemons;
    }
    void kill(std::size_t index)
    {
        m_nodes[index]->isUp = false;
        updateMembers();
    }
    /// Restarts the daemon without its state; it knows only the size of the directory.
    void restart(std::size_t index)
    {
        start(index);
        m_nodes[index]->limits->setDirectorySize(m_nodes.size());
        updateMembers();
        // It discovers the others before they detect that it was gone.
        m_nodes[index]->memberUpdateAt =
            m_now + randomDuration(std::chrono::milliseconds(50), std::chrono::milliseconds(400));
    }
    /// Stops the daemon and its clock; messages to it are delayed.
    void pause(std::size_t index) { m_nodes[index]->pausedAt = m_now; }
    void resume(std::size_t index)
    {
        Node &node = *m_nodes[index];
        node.clockLag += std::chrono::duration_cast<Duration>(m_now - *node.pausedAt);
        node.pausedAt.reset();
    }
    bool isPaused(std::size_t index) const { return m_nodes[index]->pausedAt.has_value(); }
    bool isUp(std::size_t index) const { return m_nodes[index]->isUp; }

    void advance(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end;) {
            m_now += STEP;
            step();
        }
    }

    /// Resets the request counts, but not the windows.
    void resetCounts()
    {
        for (Account &account : m_accounts) {
            account.asked = account.expected = account.admitted = 0;
        }
    }
    std::vector<Account> &accounts() { return m_accounts; }
    std::size_t messages() const { return m_messages; }
    TimePoint now() const { return m_now; }
    std::size_t size() const { return m_nodes.size(); }

    /// Admitted share of the requests that an exact token bucket would have admitted, at most 1.
    double admittedShare() const
    {
        double expected = 0;
        double admitted = 0;
        for (const Account &account : m_accounts) {
            expected += static_cast<double>(account.expected);
            admitted += static_cast<double>(std::min(account.expected, account.admitted));
        }
        return expected > 0 ? admitted / expected : 1;
    }
    /// Largest excess of any account over its bound in any window; negative if there was none.
    double maxOverBound() const
    {
        double most = -1e9;
        for (const Account &account : m_accounts) {
            most = std::max(most, account.maxOverBound);
        }
        return most;
    }

private:
    struct Waiting
    {
        std::size_t account;
        TimePoint since;
        TimePoint until;
    };
    struct Node
    {
        std::unique_ptr<SeededRandom> random;
        std::unique_ptr<IAccountLimits> limits;
        std::vector<Waiting> waiting;
        bool isUp = true;
        TimePoint memberUpdateAt = TimePoint::max();
        std::optional<TimePoint> pausedAt;
        /// Total time for which its clock was stopped.
        Duration clockLag{ 0 };
    };
    struct Message
    {
        std::size_t from;
        std::size_t to;
        AccountMessage message;
    };

    static DaemonId idOf(std::size_t index) { return DaemonId("daemon-" + std::to_string(index)); }
    static std::size_t indexOf(const DaemonId &id)
    {
        return std::stoul(id.value().substr(id.value().find('-') + 1));
    }
    AccountMember memberOf(std::size_t index) const
    {
        return { idOf(index),
                 DomainName("domain-" + std::to_string(index % m_parameters.domains)) };
    }
    Duration randomDuration(Duration least, Duration most)
    {
        const auto width =
            static_cast<std::uint64_t>(std::max<Duration::rep>((most - least).count(), 1));
        return least + Duration(static_cast<Duration::rep>(m_random.below(width)));
    }
    TimePoint clockOf(const Node &node) const { return m_now - node.clockLag; }
    AccountLimits limits() const
    {
        AccountLimits limits;
        for (const Account &account : m_accounts) {
            limits[account.name] = account.limit;
        }
        return limits;
    }

    void start(std::size_t index)
    {
        Node &node = *m_nodes[index];
        node = Node();
        node.random = std::make_unique<SeededRandom>(m_random.next() + index);
        node.limits = makeAccountLimits(m_now, *node.random, m_parameters.options);
        node.limits->setLimits(m_now, limits());
        node.limits->setMembers(m_now, idOf(index), { memberOf(index) });
    }
    bool areConnected(std::size_t a, std::size_t b) const
    {
        return a == b || m_partitioned.count(a) == m_partitioned.count(b);
    }
    void updateMembersAt(std::size_t index)
    {
        std::vector<AccountMember> members;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (i == index || (m_nodes[i]->isUp && areConnected(i, index))) {
                members.push_back(memberOf(i));
            }
        }
        Node &node = *m_nodes[index];
        node.limits->setMembers(clockOf(node), idOf(index), members);
        node.memberUpdateAt = TimePoint::max();
    }
    void updateMembers()
    {
        for (const auto &node : m_nodes) {
            node->memberUpdateAt = std::min(
                node->memberUpdateAt,
                m_now
                    + randomDuration(m_parameters.minDetectionTime, m_parameters.maxDetectionTime));
        }
    }

    void step()
    {
        while (!m_changes.empty() && m_changes.begin()->first <= m_now) {
            Node &node = *m_nodes[m_changes.begin()->second];
            node.limits->setLimits(clockOf(node), limits());
            m_changes.erase(m_changes.begin());
        }
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_now) {
            const std::vector<Message> arrived = std::move(m_inFlight.begin()->second);
            m_inFlight.erase(m_inFlight.begin());
            for (const Message &message : arrived) {
                deliver(message);
            }
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_now >= m_nodes[i]->memberUpdateAt && m_nodes[i]->isUp && !m_nodes[i]->pausedAt) {
                updateMembersAt(i);
            }
        }
        for (std::size_t i = 0; i < m_accounts.size(); ++i) {
            arrive(i);
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            wake(i);
        }
    }

    void arrive(std::size_t index)
    {
        Account &account = m_accounts[index];
        const double mean = account.demand * toSeconds(STEP);
        double left = mean;
        while (left > 0) {
            if (m_random.unit() < std::min(left, 1.0)) {
                arriveOne(index);
            }
            left -= 1;
        }
    }

    void arriveOne(std::size_t index)
    {
        Account &account = m_accounts[index];
        const std::size_t entry = account.callers[m_random.below(account.callers.size())];
        Node &node = *m_nodes[entry];
        if (!node.isUp || node.pausedAt) {
            return;
        }
        ++account.asked;
        const double passed =
            toSeconds(std::chrono::duration_cast<Duration>(m_now - account.exactAt));
        account.exactTokens =
            std::min(account.exactTokens + passed * account.limit.rate, account.limit.burst);
        account.exactAt = m_now;
        if (account.exactTokens >= 1) {
            account.exactTokens -= 1;
            ++account.expected;
        }
        ask(entry, Waiting{ index, clockOf(node), {} });
    }

    void ask(std::size_t entry, Waiting request)
    {
        Node &node = *m_nodes[entry];
        Account &account = m_accounts[request.account];
        const AccountDecision decision =
            node.limits->take(clockOf(node), account.name, request.since);
        post(entry);
        if (decision.action == AccountAction::Admit) {
            admitted(account);
        } else if (decision.action == AccountAction::Wait) {
            request.until = decision.until;
            node.waiting.push_back(request);
        }
    }

    void admitted(Account &account)
    {
        ++account.admitted;
        if (account.boundUntil != TimePoint() && m_now >= account.boundUntil) {
            account.boundRate = account.nextBoundRate;
            account.boundBurst = account.nextBoundBurst;
            account.boundUntil = TimePoint();
            account.recent.clear();
        }
        account.recent.push_back(m_now);
        while (account.recent.front() <= m_now - m_parameters.window) {
            account.recent.pop_front();
        }
        const double bound =
            (account.boundRate * toSeconds(m_parameters.window) + account.boundBurst)
                * (1 + m_parameters.overage)
            + m_parameters.slack;
        account.maxOverBound =
            std::max(account.maxOverBound, static_cast<double>(account.recent.size()) - bound);
    }

    void wake(std::size_t index)
    {
        Node &node = *m_nodes[index];
        if (!node.isUp || node.pausedAt || node.waiting.empty()) {
            return;
        }
        std::vector<Waiting> due;
        for (auto it = node.waiting.begin(); it != node.waiting.end();) {
            const bool isDue = clockOf(node) >= it->until;
            if (isDue) {
                due.push_back(*it);
            }
            it = isDue ? node.waiting.erase(it) : std::next(it);
        }
        for (const Waiting &request : due) {
            ask(index, request);
        }
    }

    void post(std::size_t from)
    {
        for (OutgoingAccountMessage &send : m_nodes[from]->limits->takeOutgoing()) {
            const std::size_t to = indexOf(send.to);
            ++m_messages;
            if (areConnected(from, to) && m_random.unit() >= m_parameters.lossShare) {
                m_inFlight[m_now + m_parameters.delay].push_back(
                    Message{ from, to, std::move(send.message) });
            }
        }
    }

    void deliver(const Message &message)
    {
        Node &node = *m_nodes[message.to];
        if (!node.isUp) {
            return;
        }
        if (node.pausedAt) {
            m_inFlight[m_now + m_parameters.delay].push_back(message);
            return;
        }
        std::vector<AccountName> granted;
        node.limits->receive(clockOf(node), idOf(message.from), message.message, granted);
        post(message.to);
        for (const AccountName &account : granted) {
            for (Waiting &waiting : node.waiting) {
                if (m_accounts[waiting.account].name == account) {
                    waiting.until = clockOf(node);
                }
            }
        }
        wake(message.to);
    }

    Parameters m_parameters;
    SeededRandom m_random;
    TimePoint m_now{ std::chrono::seconds(100) };
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<Account> m_accounts;
    std::set<std::size_t> m_partitioned;
    std::multimap<TimePoint, std::size_t> m_changes;
    std::map<TimePoint, std::vector<Message>> m_inFlight;
    std::size_t m_messages = 0;
};

} // namespace ivyspar
