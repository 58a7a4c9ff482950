#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/once/oncefactory.h"
#include "state/internal/seededrandom.h"
#include "state/tests/mocks/simulatedtime.h"

namespace ivyspar {

/// A defect injected into the protocol, which the checks must detect.
enum class ProtocolDefect {
    None,
    AssumeAppendedOnUnknown, ///< An append with an unknown result counts as the first claim.
    SkipForeignRecords, ///< A daemon reads only its own records.
    ReleaseForeignClaims, ///< A daemon releases the claims of others before it claims.
    ExpireClaimsTooEarly, ///< One daemon ignores claims after one second.
    IgnoreStartRefusal, ///< Calls are sent although `start` returned false.
};

/// Simulates several coordinators that share one log, with lost answers, outages, stale reads,
/// freezes, crashes, retention and clocks that run at different speeds, and records what ran.
class OnceSimulation
{
public:
    struct Execution
    {
        std::string key;
        CallId call;
        TimePoint at;
    };
    struct Call
    {
        std::string key;
        std::size_t node = 0;
        std::uint64_t run = 0;
        std::size_t ends = 0;
        Verdict verdict;
        std::string body;
        DaemonId holder;
    };
    /// Probabilities of faults, in 1/1000.
    struct Faults
    {
        /// The append takes effect, but its answer is lost.
        std::uint64_t appendAnswerLost = 0;
        /// The append has no effect and no answer.
        std::uint64_t appendLost = 0;
        /// The append takes effect up to a minute later, and its answer is lost.
        std::uint64_t appendDelayed = 0;
        std::uint64_t readFails = 0;
        std::uint64_t staleRead = 0;
        std::uint64_t refusedByUpstream = 0;
        std::uint64_t answerLost = 0;
        /// Freezes of up to a minute between `proceed` and `start`.
        std::uint64_t freezeBeforeStart = 0;
    };

    OnceSimulation(std::uint64_t seed, std::size_t nodes,
                   ProtocolDefect defect = ProtocolDefect::None,
                   const OnceOptions &options = OnceSimulation::options())
        : m_options(options)
        , m_random(seed)
        , m_defect(defect)
        , m_nodes(nodes)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            // Clocks deviate by up to 1 % in speed and have arbitrary offsets.
            m_nodes[i].clockRate = 0.99 + 0.02 * m_random.unit();
            m_nodes[i].offset = Duration(m_random.below(1'000'000'000));
            startNode(i);
        }
    }

    static OnceOptions options()
    {
        using namespace std::chrono_literals;
        OnceOptions options;
        options.lifetime = 20s;
        options.startWindow = 5s;
        options.clockMargin = 1s;
        return options;
    }
    static constexpr Duration RETENTION = std::chrono::seconds(40);

    CallId request(std::size_t node, const std::string &key, Duration wait,
                   std::uint64_t fingerprint = 1)
    {
        const CallId call(++m_lastCall);
        m_calls[call] = Call{ key, node, m_nodes[node].run, 0, {}, {}, {} };
        onNode(node, Duration(0), [this, node, key, wait, fingerprint, call] {
            OnceRequest request{ call, RuleName("pay"), IdempotencyKey(key),
                                 RequestFingerprint(fingerprint), local(node) + wait };
            perform(node, m_nodes[node].coordinator->request(local(node), request));
        });
        return call;
    }

    void crash(std::size_t node)
    {
        ++m_nodes[node].run;
        startNode(node);
    }
    void freeze(std::size_t node, Duration time)
    {
        m_nodes[node].frozenUntil = std::max(m_nodes[node].frozenUntil, m_time.now() + time);
    }
    void setOutage(bool isDown) { m_isDown = isDown; }
    void setFaults(const Faults &faults) { m_faults = faults; }

    void run(Duration time)
    {
        m_time.run(time, [this] { dropOldRecords(); });
    }

    const Call &call(CallId id) const { return m_calls.at(id); }
    std::size_t executionsOf(const std::string &key) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_executions.begin(), m_executions.end(),
                          [&key](const Execution &execution) { return execution.key == key; }));
    }
    std::size_t executions() const { return m_executions.size(); }
    std::size_t appends() const { return m_appends; }
    TimePoint now() const { return m_time.now(); }
    SeededRandom &random() { return m_random; }
    IOnceCoordinator &coordinator(std::size_t node) { return *m_nodes[node].coordinator; }
    TimePoint local(std::size_t node) const
    {
        const auto passed = static_cast<double>((m_time.now() - TimePoint()).count());
        return TimePoint(m_nodes[node].offset)
            + Duration(static_cast<Duration::rep>(passed * m_nodes[node].clockRate));
    }

    std::function<void(const ClaimBatch &batch)> onAppend;
    std::function<void(CallId call)> onProceed;

    /// Violations of the protocol's guarantees in the history so far.
    std::vector<std::string> violations() const
    {
        std::vector<std::string> found;
        checkAtMostOnce(found);
        checkReplies(found);
        return found;
    }

private:
    struct Node
    {
        std::unique_ptr<IOnceCoordinator> coordinator;
        std::uint64_t run = 1;
        double clockRate = 1;
        Duration offset{ 0 };
        TimePoint frozenUntil;
        TimePoint wakeAt;
    };
    struct Record
    {
        ClaimBatch batch;
        TimePoint at;
    };

    void startNode(std::size_t index)
    {
        Node &node = m_nodes[index];
        OnceOptions options = m_options;
        if (m_defect == ProtocolDefect::ExpireClaimsTooEarly && index == 0) {
            options.lifetime = options.startWindow = Duration(0);
        }
        node.coordinator = makeOnceCoordinator(local(index), DaemonId(nameOf(index)),
                                               Incarnation(node.run), m_random.next(), options);
        node.frozenUntil = m_time.now();
        node.wakeAt = TimePoint::max();
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].coordinator) {
                m_nodes[i].coordinator->setMember(DaemonId(nameOf(index)), Incarnation(node.run));
            }
        }
        scheduleTick(index, m_time.now());
    }

    static std::string nameOf(std::size_t index) { return "daemon-" + std::to_string(index); }

    /// Runs the action in that node's process: after a freeze if it is frozen, not at all if it
    /// crashes before.
    void onNode(std::size_t index, Duration delay, std::function<void()> action)
    {
        const std::uint64_t run = m_nodes[index].run;
        m_time.scheduleAt(m_time.now() + delay, [this, index, run, action = std::move(action)] {
            if (m_nodes[index].run != run) {
                return;
            }
            if (m_time.now() < m_nodes[index].frozenUntil) {
                onNode(index, m_nodes[index].frozenUntil - m_time.now(), action);
                return;
            }
            action();
        });
    }

    void scheduleTick(std::size_t index, TimePoint at)
    {
        Node &node = m_nodes[index];
        if (node.wakeAt <= at && node.wakeAt > m_time.now()) {
            return;
        }
        node.wakeAt = at;
        onNode(index, at - m_time.now(), [this, index] {
            m_nodes[index].wakeAt = TimePoint::max();
            perform(index, m_nodes[index].coordinator->tick(local(index)));
        });
    }

    void perform(std::size_t index, const OnceActions &actions)
    {
        for (const OnceReply &reply : actions.replies) {
            end(reply.call, reply.verdict, reply.response.body, reply.holder);
        }
        for (const CallId call : actions.proceed) {
            if (onProceed) {
                onProceed(call);
            }
            if (happens(m_faults.freezeBeforeStart)) {
                freeze(index, randomDuration(0, 60'000'000));
            }
            onNode(index, randomDuration(0, 3000), [this, index, call] { execute(index, call); });
        }
        if (actions.append) {
            append(index, *actions.append);
        }
        if (actions.read) {
            read(index, *actions.read);
        }
        const auto wait = std::max(actions.wakeAt - local(index), Duration(0));
        scheduleTick(index, m_time.now() + wait + Duration(1000));
    }

    Duration randomDuration(std::uint64_t from, std::uint64_t to)
    {
        return Duration(from + m_random.below(to - from + 1));
    }
    bool happens(std::uint64_t share) { return m_random.below(1000) < share; }

    void end(CallId id, const Verdict &verdict, const std::string &body, const DaemonId &holder)
    {
        Call &call = m_calls[id];
        ++call.ends;
        call.verdict = verdict;
        call.body = body;
        call.holder = holder;
    }

    /// The step of the daemon that sends the call, and the call's run at the upstream.
    void execute(std::size_t index, CallId call)
    {
        IOnceCoordinator &coordinator = *m_nodes[index].coordinator;
        const bool mayStart = coordinator.start(local(index), call);
        const bool isRefused = happens(m_faults.refusedByUpstream);
        if ((!mayStart && m_defect != ProtocolDefect::IgnoreStartRefusal) || isRefused) {
            onNode(index, randomDuration(0, 2000), [this, index, call] {
                end(call, { Outcome::NotRun, Reason::UpstreamRefused, {} }, {}, {});
                perform(index, m_nodes[index].coordinator->notRun(local(index), call));
            });
            return;
        }
        m_executions.push_back({ m_calls[call].key, call, m_time.now() });
        Verdict verdict{ Outcome::Answered, Reason::None, {} };
        if (happens(m_faults.answerLost)) {
            verdict = { Outcome::Unknown, Reason::BrokenAnswer, {} };
        }
        HttpResponse response;
        response.body = std::to_string(call.value());
        onNode(index, randomDuration(1000, 300000), [this, index, call, verdict, response] {
            end(call, verdict, response.body, {});
            perform(index,
                    m_nodes[index].coordinator->finished(local(index), call, verdict, response));
        });
    }

    void append(std::size_t index, const ClaimAppend &append)
    {
        ++m_appends;
        if (onAppend) {
            onAppend(append.batch);
        }
        if (m_isDown) {
            const bool isHanging = happens(300);
            failAppend(index, append,
                       isHanging ? randomDuration(200000, 400000) : randomDuration(500, 2000),
                       isHanging ? AppendFailure::Unknown : AppendFailure::NotAppended);
            return;
        }
        if (happens(m_faults.appendLost)) {
            failAppend(index, append, randomDuration(100000, 400000), AppendFailure::Unknown);
            return;
        }
        const bool isLate = happens(m_faults.appendDelayed);
        const bool isLost = isLate || happens(m_faults.appendAnswerLost);
        const Duration effect =
            isLate ? randomDuration(500000, 60'000'000) : randomDuration(500, 5000);
        m_time.scheduleAt(m_time.now() + effect,
                          [this, index, append, isLost] { storeRecord(index, append, isLost); });
        if (isLost) {
            failAppend(index, append, randomDuration(100000, 400000), AppendFailure::Unknown);
        }
    }

    void storeRecord(std::size_t index, const ClaimAppend &append, bool isLost)
    {
        if (m_defect == ProtocolDefect::ReleaseForeignClaims) {
            releaseForeignClaims(append.batch);
        }
        const LogOffset offset(m_first + m_log.size());
        m_log.push_back({ append.batch, m_time.now() });
        if (!isLost) {
            onNode(index, randomDuration(500, 3000), [this, index, id = append.id, offset] {
                perform(index, m_nodes[index].coordinator->appendDone(local(index), id, offset));
            });
        }
    }

    void releaseForeignClaims(const ClaimBatch &batch)
    {
        std::vector<ClaimBatch> forged;
        for (const Record &record : m_log) {
            ClaimBatch other = record.batch;
            const bool isClaimOfOther = other.daemon != batch.daemon && !other.entries.empty()
                && other.entries.front().kind == ClaimKind::Claim
                && other.entries.front().key == batch.entries.front().key;
            if (isClaimOfOther) {
                other.entries.front().kind = ClaimKind::Release;
                other.entries.resize(1);
                forged.push_back(std::move(other));
            }
        }
        for (ClaimBatch &other : forged) {
            m_log.push_back({ std::move(other), m_time.now() });
        }
    }

    void failAppend(std::size_t index, const ClaimAppend &append, Duration delay,
                    AppendFailure failure)
    {
        onNode(index, delay, [this, index, append, failure] {
            IOnceCoordinator &coordinator = *m_nodes[index].coordinator;
            perform(index, coordinator.appendFailed(local(index), append.id, failure));
            const bool isGuessing = m_defect == ProtocolDefect::AssumeAppendedOnUnknown
                && failure == AppendFailure::Unknown;
            if (isGuessing) {
                const LogOffset at(m_lastReadFrom[index]);
                ClaimPage page{ LogOffset(m_first), LogOffset(at.value() + 1), {} };
                page.records.push_back({ at, append.batch });
                perform(index, coordinator.recordsRead(local(index), page));
            }
        });
    }

    void read(std::size_t index, const ClaimRead &read)
    {
        m_lastReadFrom[index] = read.from.value();
        if (m_isDown || happens(m_faults.readFails)) {
            onNode(index, randomDuration(500, 50000), [this, index] {
                perform(index, m_nodes[index].coordinator->readFailed(local(index)));
            });
            return;
        }
        // The replica reads its records when the request arrives, before the answer's way back.
        m_time.scheduleAt(m_time.now() + randomDuration(300, 2000), [this, index, read] {
            ClaimPage page = makePage(index, read);
            onNode(index, randomDuration(300, 2000), [this, index, page = std::move(page)] {
                perform(index, m_nodes[index].coordinator->recordsRead(local(index), page));
            });
        });
    }

    ClaimPage makePage(std::size_t index, const ClaimRead &read)
    {
        std::uint64_t end = m_first + m_log.size();
        if (happens(m_faults.staleRead)) {
            end -= std::min<std::uint64_t>(m_log.size(), m_random.below(5));
        }
        ClaimPage page{ LogOffset(m_first), LogOffset(end), {} };
        const std::uint64_t from = std::max(read.from.value(), m_first);
        for (std::uint64_t at = from; at < end && page.records.size() < read.maxRecords; ++at) {
            const ClaimBatch &batch = m_log[at - m_first].batch;
            ClaimRecord record{ LogOffset(at), batch };
            const bool isHidden = m_defect == ProtocolDefect::SkipForeignRecords
                && batch.daemon != DaemonId(nameOf(index));
            if (isHidden) {
                record.batch.reset();
            }
            page.records.push_back(std::move(record));
        }
        return page;
    }

    void dropOldRecords()
    {
        while (!m_log.empty() && m_time.now() - m_log.front().at > RETENTION) {
            m_log.erase(m_log.begin());
            ++m_first;
        }
    }

    /// Reports keys that ran twice within their lifetime, such as a payment that is charged twice.
    void checkAtMostOnce(std::vector<std::string> &found) const
    {
        constexpr double CLOCK_TOLERANCE = 0.98;
        std::map<std::string, TimePoint> last;
        for (const Execution &execution : m_executions) {
            const auto before = last.find(execution.key);
            const bool isTwice = before != last.end()
                && static_cast<double>((execution.at - before->second).count())
                    < CLOCK_TOLERANCE * static_cast<double>(options().lifetime.count());
            if (isTwice) {
                found.push_back("key " + execution.key + " ran twice within its lifetime");
            }
            last[execution.key] = execution.at;
        }
    }

    void checkReplies(std::vector<std::string> &found) const
    {
        std::map<CallId, std::size_t> ran;
        for (const Execution &execution : m_executions) {
            ++ran[execution.call];
        }
        for (const auto &[id, call] : m_calls) {
            const std::string name = "call " + std::to_string(id.value());
            const auto execution = ran.find(id);
            if (call.ends > 1) {
                found.push_back(name + " has more than one result");
            }
            if (call.ends == 0 && m_nodes[call.node].run == call.run) {
                found.push_back(name + " has no result");
            }
            if (call.ends == 0) {
                continue;
            }
            if (call.verdict.outcome == Outcome::NotRun && execution != ran.end()) {
                found.push_back(name + " was reported as not run, but ran");
            }
            if (call.verdict.outcome != Outcome::Answered) {
                continue;
            }
            const auto other = m_calls.find(CallId(std::stoull(call.body)));
            const bool isOwnAnswer = other != m_calls.end() && other->second.key == call.key
                && ran.count(other->first) != 0;
            if (!isOwnAnswer) {
                found.push_back(name + " got the response of another key");
            }
        }
    }

    const OnceOptions m_options;
    SeededRandom m_random;
    ProtocolDefect m_defect;
    std::vector<Node> m_nodes;
    SimulatedTime m_time{ TimePoint(std::chrono::hours(1)) };

    std::vector<Record> m_log;
    std::uint64_t m_first = 0;
    bool m_isDown = false;
    Faults m_faults;
    std::map<std::size_t, std::uint64_t> m_lastReadFrom;

    std::uint64_t m_lastCall = 0;
    std::map<CallId, Call> m_calls;
    std::vector<Execution> m_executions;
    std::size_t m_appends = 0;
};

} // namespace ivyspar
