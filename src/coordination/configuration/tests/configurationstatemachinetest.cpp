#include <algorithm>
#include <functional>
#include <iostream>
#include <memory>

#include <rapidcheck.h>

#include "coordination/configuration/configurationdigest.h"
#include "coordination/configuration/configurationstatemachinefactory.h"
#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

constexpr std::uint64_t SEED = 20261202;

ConfigurationRecord makeChange(std::uint64_t base, const std::string &id)
{
    ConfigurationRecord record;
    record.changeId = id;
    record.base = ConfigurationVersion(base);
    record.inventory = "inventory of " + id;
    record.rules = "rules of " + id;
    record.digest = configurationDigest(record.inventory, record.rules);
    return record;
}

ConfigurationRecord makeSnapshot(const AcceptedConfiguration &of, std::uint64_t position)
{
    ConfigurationRecord record;
    record.kind = ConfigurationRecord::Kind::Snapshot;
    record.changeId = of.changeId;
    record.base = of.version;
    record.digest = of.digest;
    record.inventory = of.inventory;
    record.rules = of.rules;
    record.position = LogOffset(position);
    return record;
}

/// A stream with the expected states and results, computed by a replay of the whole stream.
struct Stream
{
    std::vector<ConfigurationRecord> records;
    std::vector<AcceptedConfiguration> before = { {} };
    std::vector<ApplyResult> results;

    std::uint64_t end() const { return records.size(); }

    void add(const ConfigurationRecord &record)
    {
        AcceptedConfiguration next = before.back();
        const bool isIntact = record.digest == configurationDigest(record.inventory, record.rules);
        const bool isRestart = record.kind == ConfigurationRecord::Kind::Restart;
        const bool isChange = record.kind == ConfigurationRecord::Kind::Change;
        const bool isAccepted = isIntact
            && ((isRestart && record.base > next.version)
                || (isChange && record.base == next.version));
        if (isAccepted) {
            next = { ConfigurationVersion(record.base.value() + (isChange ? 1 : 0)),
                     record.changeId,
                     record.digest,
                     record.inventory,
                     record.rules,
                     {},
                     {} };
        }
        records.push_back(record);
        before.push_back(next);
        results.push_back(!isIntact        ? ApplyResult::Malformed
                              : isAccepted ? ApplyResult::Accepted
                                           : ApplyResult::Conflict);
    }
};

/// A random stream of changes with current, outdated and future bases, snapshots by lagging
/// authors, corrupt records and restarts.
Stream makeStream(IRandom &random, std::size_t length)
{
    Stream stream;
    while (stream.records.size() < length) {
        const std::uint64_t current = stream.before.back().version.value();
        const std::string id = std::to_string(stream.end());
        const std::uint64_t kind = random.below(10);
        if (kind < 4) {
            stream.add(makeChange(current, id));
        } else if (kind < 6) {
            stream.add(makeChange(random.below(current + 3), id));
        } else if (kind < 7) {
            stream.add(makeChange(current, id));
            stream.records.back().digest ^= 1;
            stream.before.back() = stream.before[stream.end() - 1];
            stream.results.back() = ApplyResult::Malformed;
        } else if (kind < 8 && random.below(8) == 0) {
            ConfigurationRecord restart = makeChange(current + random.below(2000), id);
            restart.kind = ConfigurationRecord::Kind::Restart;
            if (restart.base.value() > current) {
                stream.add(restart);
            }
        } else if (current > 0) {
            const std::uint64_t lag = random.below(std::min<std::uint64_t>(stream.end(), 4) + 1);
            const std::uint64_t position = stream.end() - lag;
            if (stream.before[position].version.value() > 0) {
                stream.add(makeSnapshot(stream.before[position], position));
            }
        }
    }
    return stream;
}

/// The state machine of one daemon, checked against the full replay after each step.
class Reader
{
public:
    Reader(const Stream &stream, std::unique_ptr<IConfigurationStateMachine> stateMachine)
        : m_stream(stream)
        , m_stateMachine(std::move(stateMachine))
    {
    }

    void read(std::uint64_t offset)
    {
        const ApplyResult result =
            m_stateMachine->apply(LogOffset(offset), m_stream.records[offset]);
        const bool isChange = m_stream.records[offset].kind != ConfigurationRecord::Kind::Snapshot;
        const bool isExempt =
            result == ApplyResult::Deferred || result == ApplyResult::Duplicate || !isChange;
        require(isExempt || result == m_stream.results[offset], "verdict");
        for (const DeferredResult &deferred : m_stateMachine->takeDeferredResults()) {
            require(deferred.result == m_stream.results[deferred.offset.value()],
                    "deferred result");
        }
        check();
    }

    void truncateBefore(std::uint64_t first)
    {
        m_stateMachine->truncateBefore(LogOffset(first));
        check();
    }

    /// Adopts the version of a peer that had read up to `position`.
    void adoptFromPeer(std::uint64_t position, bool isPositionKnown)
    {
        AcceptedConfiguration accepted = m_stream.before[position];
        if (isPositionKnown) {
            accepted.position = LogOffset(position);
        }
        m_stateMachine->adopt(accepted);
        check();
    }

    std::uint64_t next() const { return m_stateMachine->nextOffset().value(); }
    const IConfigurationStateMachine &stateMachine() const { return *m_stateMachine; }
    const std::string &violation() const { return m_violation; }

private:
    void require(bool holds, const std::string &what)
    {
        if (!holds && m_violation.empty()) {
            m_violation = what + " before offset " + std::to_string(next());
        }
    }

    void check()
    {
        const AcceptedConfiguration *logState = m_stateMachine->logState();
        require(!logState || logState->version == m_stream.before[next()].version,
                "version of the log state");
        require(!logState || logState->digest == m_stream.before[next()].digest,
                "digest of the log state");
        require(!logState || logState->position == m_stateMachine->nextOffset(),
                "position of the log state");
        const AcceptedConfiguration *current = m_stateMachine->current();
        require(!current || !current->position
                    || m_stream.before[current->position->value()].version == current->version,
                "position of the newest version");
        const ConfigurationVersion newest = current ? current->version : ConfigurationVersion();
        require(newest >= m_lastNewest, "newest version decreases");
        require(newest <= m_stream.before.back().version, "newest version was never accepted");
        require(!logState || logState->version <= newest, "newest version is behind the log state");
        for (const AcceptedConfiguration &each : m_stream.before) {
            require(each.version != newest || newest.value() == 0 || each.digest == current->digest,
                    "digest of the newest version");
        }
        m_lastNewest = newest;
    }

    const Stream &m_stream;
    std::unique_ptr<IConfigurationStateMachine> m_stateMachine;
    ConfigurationVersion m_lastNewest;
    std::string m_violation;
};

using MakeStateMachine = std::function<std::unique_ptr<IConfigurationStateMachine>()>;

/// Reads a random stream from a random start with replays, gaps, and peers at any position. Returns
/// a description of the first violation, or an empty string.
std::string findViolation(std::uint64_t seed, const MakeStateMachine &makeStateMachine)
{
    SeededRandom random(seed);
    const Stream stream = makeStream(random, 5 + random.below(40));
    Reader reader(stream, makeStateMachine());
    std::uint64_t first = random.below(2) * random.below(stream.end());
    for (int step = 0; step < 120; ++step) {
        const std::uint64_t kind = random.below(12);
        if (kind == 0) {
            reader.adoptFromPeer(random.below(stream.end() + 1), random.below(2) == 0);
        } else if (kind == 1) {
            first += random.below(std::min<std::uint64_t>(stream.end() - first, 4) + 1);
            reader.truncateBefore(first);
        } else if (kind == 2 && first < stream.end()) {
            reader.read(first + random.below(stream.end() - first) / 2);
        } else if (std::max(first, reader.next()) < stream.end()) {
            reader.read(std::max(first, reader.next()));
        }
    }
    return reader.violation();
}

bool checkProperty(const MakeStateMachine &makeStateMachine)
{
    rc::detail::TestMetadata metadata;
    metadata.id = "ConfigurationFold";
    rc::detail::TestParams params;
    params.seed = SEED;
    params.maxSuccess = 10000;
    const auto property = [&makeStateMachine](std::uint64_t seed) {
        const std::string violation = findViolation(seed, makeStateMachine);
        RC_ASSERT(violation == "");
    };
    const auto result = rc::detail::checkTestable(property, metadata, params);
    const bool holds = result.is<rc::detail::SuccessResult>();
    if (!holds) {
        rc::detail::printResultMessage(result, std::cerr);
    }
    return holds;
}

/// The obvious but incorrect implementation: one version serves as log state and newest version.
class NaiveStateMachine : public IConfigurationStateMachine
{
public:
    ApplyResult apply(LogOffset offset, const ConfigurationRecord &record) override
    {
        m_next = std::max(m_next, LogOffset(offset.value() + 1));
        const bool isSnapshot = record.kind == ConfigurationRecord::Kind::Snapshot;
        const bool isNext =
            isSnapshot ? record.base > m_newest.version : record.base == m_newest.version;
        if (!isNext || record.digest != configurationDigest(record.inventory, record.rules)) {
            return isNext ? ApplyResult::Malformed : ApplyResult::Conflict;
        }
        m_newest = { ConfigurationVersion(record.base.value() + (isSnapshot ? 0 : 1)),
                     record.changeId,
                     record.digest,
                     record.inventory,
                     record.rules,
                     {},
                     {} };
        return ApplyResult::Accepted;
    }
    void truncateBefore(LogOffset) override { }
    void skip(LogOffset) override { }
    bool adopt(const AcceptedConfiguration &accepted) override
    {
        if (accepted.version <= m_newest.version) {
            return false;
        }
        m_newest = accepted;
        return true;
    }
    std::vector<DeferredResult> takeDeferredResults() override { return {}; }
    const AcceptedConfiguration *current() const override { return &m_newest; }
    const AcceptedConfiguration *logState() const override { return nullptr; }
    LogOffset nextOffset() const override { return m_next; }
    LogOffset anchor() const override { return {}; }

private:
    AcceptedConfiguration m_newest;
    LogOffset m_next;
};

} // namespace

TEST_GROUP(ConfigurationStateMachine)
{
    std::unique_ptr<IConfigurationStateMachine> m_stateMachine = makeConfigurationStateMachine();

    ApplyResult apply(std::uint64_t offset, const ConfigurationRecord &record)
    {
        return m_stateMachine->apply(LogOffset(offset), record);
    }
    std::uint64_t version() const
    {
        return m_stateMachine->current() ? m_stateMachine->current()->version.value() : 0;
    }
    AcceptedConfiguration acceptedAs(std::uint64_t number, const std::string &id) const
    {
        const ConfigurationRecord record = makeChange(0, id);
        return {
            ConfigurationVersion(number), id, record.digest, record.inventory, record.rules, {}, {}
        };
    }
};

TEST(ConfigurationStateMachine, OneOfConcurrentChangesIsAccepted)
{
    CHECK(apply(0, makeChange(0, "a")) == ApplyResult::Accepted);
    CHECK(apply(1, makeChange(1, "b")) == ApplyResult::Accepted);
    CHECK(apply(2, makeChange(1, "c")) == ApplyResult::Conflict);
    CHECK(apply(3, makeChange(9, "d")) == ApplyResult::Conflict);
    STRCMP_EQUAL("b", m_stateMachine->current()->changeId.c_str());
    CHECK_EQUAL(2, version());
}

TEST(ConfigurationStateMachine, CorruptRecordIsRejected)
{
    ConfigurationRecord record = makeChange(0, "a");
    record.rules += "x";
    CHECK(apply(0, record) == ApplyResult::Malformed);
    CHECK_EQUAL(0, version());
}

// Guards against a daemon that accepts a change that all others reject:
// 1. The daemon adopts version 5 from a peer before it has read the log that far.
// 2. The log has a change with base 5 before the record of version 5; it is a conflict there.
// Compared with the newest version instead of the log state, the change would become version 6.
TEST(ConfigurationStateMachine, AdoptedVersionDoesNotAffectOlderRecords)
{
    apply(0, makeChange(0, "a"));
    CHECK(m_stateMachine->adopt(acceptedAs(5, "peer")));
    CHECK(apply(1, makeChange(5, "premature")) == ApplyResult::Conflict);
    CHECK(apply(2, makeChange(1, "b")) == ApplyResult::Accepted);
    CHECK_EQUAL(5, version());
}

// A daemon starts on a new host after the start of the stream was truncated. A snapshot that
// follows a change was written by a daemon that had not read the change. Applying the snapshot at
// its own offset would revert the change.
TEST(ConfigurationStateMachine, OutdatedSnapshotAppliesAtItsPosition)
{
    CHECK(apply(7, makeChange(3, "d")) == ApplyResult::Deferred);
    const ConfigurationRecord snapshot = makeSnapshot(acceptedAs(3, "c"), 7);
    CHECK(apply(8, snapshot) == ApplyResult::Accepted);
    CHECK_EQUAL(4, version());
    const std::vector<DeferredResult> deferred = m_stateMachine->takeDeferredResults();
    CHECK_EQUAL(1, deferred.size());
    CHECK(deferred[0].result == ApplyResult::Accepted);
    CHECK(apply(9, makeChange(3, "e")) == ApplyResult::Conflict);
}

TEST(ConfigurationStateMachine, SnapshotOfTruncatedPositionDoesNotRestoreLogState)
{
    CHECK(apply(8, makeSnapshot(acceptedAs(3, "c"), 7)) == ApplyResult::Accepted);
    CHECK_EQUAL(3, version());
    CHECK(m_stateMachine->logState() == nullptr);
    CHECK(apply(9, makeChange(3, "e")) == ApplyResult::Deferred);
}

// A daemon starts on a new host while the log is down, and has version and position from a peer.
// When the log is back, its first records were truncated, but the position lies behind them.
TEST(ConfigurationStateMachine, PeerPositionBridgesTruncatedRecords)
{
    AcceptedConfiguration fromPeer = acceptedAs(4, "d");
    fromPeer.position = LogOffset(20);
    CHECK(m_stateMachine->adopt(fromPeer));
    CHECK(apply(20, makeChange(4, "e")) == ApplyResult::Accepted);
    CHECK_EQUAL(5, version());
}

TEST(ConfigurationStateMachine, MatchesFullReplayFromAnyStart)
{
    CHECK(checkProperty(makeConfigurationStateMachine));
}

TEST(ConfigurationStateMachine, PropertyRejectsNaiveStateMachine)
{
    std::size_t detected = 0;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        detected +=
            findViolation(seed, [] { return std::make_unique<NaiveStateMachine>(); }).empty() ? 0
                                                                                              : 1;
    }
    CHECK(detected > 0);
}
