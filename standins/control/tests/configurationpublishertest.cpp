#include <algorithm>
#include <map>

#include "app/internal/commands/linediff.h"
#include "app/internal/control/configurationpublisher.h"
#include "coordination/configuration/configurationstatemachinefactory.h"
#include "protocol/internal/configurationrecordcodec.h"
#include "standins/log/inprocesshttpclient.h"
#include "standins/log/logserver.h"
#include "state/internal/seededrandom.h"
#include "transport/logservicefactory.h"
#include "transport/transportfactory.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace ivyspar::lab;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = PublishResult::Kind;

namespace {

const StreamName STREAM{ "configuration" };

}

TEST_GROUP(ConfigurationPublisher)
{
    std::unique_ptr<IEventLoop> m_loop = makeEventLoop();
    LogCore m_core{ LogLimits() };
    LogServer m_server{ *m_loop, m_core };
    InProcessHttpClient m_client{ *m_loop, [this](IHttpExchange &exchange) {
                                     return m_server.handle(exchange);
                                 } };
    LogServiceSettings m_logSettings{ { { "127.0.0.1", 1 } }, "", milliseconds(30) };
    std::unique_ptr<ILogService> m_log = makeHttpLogService(m_logSettings, m_client);
    int m_running = 0;

    void run(std::function<void()> test)
    {
        m_loop->spawn([this, test = std::move(test)] {
            test();
            while (m_server.activeCount() > 0) {
                m_loop->sleepFor(milliseconds(1));
            }
            m_loop->stop();
        });
        m_loop->run();
    }
    PublishSettings change(const std::string &id) const
    {
        PublishSettings settings;
        settings.changeId = id;
        settings.text = { "inventory of " + id, "rules" };
        settings.timeout = seconds(20);
        return settings;
    }
    PublishResult publish(const PublishSettings &settings)
    {
        return ConfigurationPublisher(settings, *m_loop, *m_log).publish();
    }
    PublishResult publish(const std::string &id)
    {
        return publish(change(id));
    }
    /// The truth: the changes that the whole stream accepts, in order.
    std::vector<std::string> acceptedChanges()
    {
        std::vector<std::string> accepted;
        const auto stateMachine = makeConfigurationStateMachine();
        const LogPage page = m_core.read(STREAM, LogOffset(0), 10000, "", m_loop->now()).page;
        for (const LogRecord &record : page.records) {
            const ConfigurationRecord decoded = decodeConfigurationRecord(record.payload).value();
            if (stateMachine->apply(record.offset, decoded) == ApplyResult::Accepted) {
                accepted.push_back(decoded.changeId);
            }
        }
        return accepted;
    }
};

TEST(ConfigurationPublisher, ChangesFollowEachOther)
{
    run([this] {
        CHECK(publish("a").kind == Kind::Accepted);
        const PublishResult second = publish("b");
        CHECK(second.kind == Kind::Accepted);
        CHECK_EQUAL(2, second.version.value());
        CHECK_EQUAL(1, second.base->value());
    });
}

TEST(ConfigurationPublisher, AnOutdatedBaseIsToldWhatCameFirst)
{
    run([this] {
        publish("a");
        publish("b");
        PublishSettings late = change("c");
        late.base = ConfigurationVersion(1);
        const PublishResult result = publish(late);
        CHECK(result.kind == Kind::Conflict);
        CHECK_EQUAL(2, result.winner.version.value());
        STRCMP_EQUAL("b", result.winner.changeId.c_str());
        CHECK_EQUAL(2, acceptedChanges().size());
    });
}

// Operators publish at the same moment, all based on the same version. Each must be told the truth.
TEST(ConfigurationPublisher, ExactlyOneOfRacingOperatorsWins)
{
    run([this] {
        publish("first");
        std::vector<PublishResult> results;
        for (int i = 0; i < 8; ++i) {
            m_loop->spawn([this, i, &results] {
                PublishSettings settings = change(std::to_string(i));
                settings.base = ConfigurationVersion(1);
                const PublishResult result = publish(settings);
                results.push_back(result);
            });
        }
        while (results.size() < 8) {
            m_loop->sleepFor(milliseconds(1));
        }
        const std::string winner = acceptedChanges().at(1);
        CHECK_EQUAL(2, acceptedChanges().size());
        int accepted = 0;
        for (const PublishResult &result : results) {
            accepted += result.kind == Kind::Accepted ? 1 : 0;
            CHECK(result.kind == Kind::Accepted || result.winner.changeId == winner);
            CHECK_EQUAL(2,
                        result.kind == Kind::Accepted ? result.version.value()
                                                      : result.winner.version.value());
        }
        CHECK_EQUAL(1, accepted);
    });
}

// The answer to the append is lost after the record was written. The publisher must find it, and
// must not make the change a second time.
TEST(ConfigurationPublisher, AnAnswerLostAfterTheEffectIsFound)
{
    run([this] {
        m_core.faults().answersLostAfter = 1;
        const PublishResult result = publish("a");
        CHECK(result.kind == Kind::Accepted);
        CHECK_EQUAL(1, acceptedChanges().size());
    });
}

TEST(ConfigurationPublisher, AnAnswerLostBeforeTheEffectIsSentAgain)
{
    run([this] {
        m_core.faults().answersLostBefore = 2;
        CHECK(publish("a").kind == Kind::Accepted);
        CHECK_EQUAL(1, acceptedChanges().size());
    });
}

// The append is still on its way when the publisher gives up, so it can only say "unknown". It
// takes effect later; repeating the change with the same id must not make it twice.
TEST(ConfigurationPublisher, ARepeatedChangeIsMadeOnce)
{
    run([this] {
        publish("first");
        m_core.faults().effectDelay = milliseconds(400);
        PublishSettings settings = change("a");
        settings.timeout = milliseconds(100);
        const PublishResult unknown = publish(settings);
        CHECK(unknown.kind == Kind::Unknown);
        CHECK_EQUAL(1, unknown.base->value());
        m_core.faults().effectDelay = Duration::zero();
        settings.timeout = seconds(20);
        settings.isRepeat = true;
        CHECK(publish(settings).kind == Kind::Accepted);
        while (m_server.activeCount() > 0) {
            m_loop->sleepFor(milliseconds(1));
        }
        publish("last");
        CHECK(publish(settings).kind == Kind::Accepted);
        CHECK_EQUAL(3, acceptedChanges().size());
    });
}

// The change was accepted, its record was forgotten, and its publisher never heard of it. With a
// new base a repetition would be made a second time, so without the old base it is refused.
TEST(ConfigurationPublisher, ARepetitionAfterItsRecordWasForgottenNeedsItsBase)
{
    run([this] {
        publish("a");
        publish("b");
        ConfigurationRecord snapshot;
        snapshot.kind = ConfigurationRecord::Kind::Snapshot;
        const LogPage page = m_core.read(STREAM, LogOffset(1), 1, "", m_loop->now()).page;
        snapshot = decodeConfigurationRecord(page.records.at(0).payload).value();
        snapshot.kind = ConfigurationRecord::Kind::Snapshot;
        snapshot.base = ConfigurationVersion(2);
        snapshot.position = LogOffset(2);
        m_core.append(STREAM, encodeConfigurationRecord(snapshot).value(), "", m_loop->now());
        m_core.forgetBefore(STREAM, LogOffset(2));
        PublishSettings repeated = change("a");
        repeated.isRepeat = true;
        CHECK(publish(repeated).kind == Kind::Unknown);
        repeated.base = ConfigurationVersion(0);
        CHECK(publish(repeated).kind == Kind::Conflict);
        CHECK(publish(change("b")).kind == Kind::Accepted);
        CHECK(publish("c").kind == Kind::Accepted);
    });
}

TEST(ConfigurationPublisher, AnOutageIsProofThatNothingWasSent)
{
    run([this] {
        m_core.faults().isDown = true;
        PublishSettings settings = change("a");
        settings.timeout = milliseconds(50);
        CHECK(publish(settings).kind == Kind::NotSent);
        m_core.faults().isDown = false;
        m_core.limits().appendsPerSecond = 0;
        CHECK(publish(settings).kind == Kind::NotSent);
        CHECK(acceptedChanges().empty());
    });
}

// Everything that told the version is gone: the log's records and all daemons.
TEST(ConfigurationPublisher, AForgottenStreamNeedsARestart)
{
    run([this] {
        publish("a");
        m_core.forgetBefore(STREAM, LogOffset(1));
        PublishSettings settings = change("b");
        settings.timeout = milliseconds(50);
        CHECK(publish(settings).kind == Kind::NotSent);
        settings.timeout = seconds(20);
        settings.isRestart = true;
        const PublishResult restarted = publish(settings);
        CHECK(restarted.kind == Kind::Accepted);
        CHECK(restarted.version.value() > 1);
        CHECK(publish("c").version.value() == restarted.version.value() + 1);
        settings.changeId = "d";
        CHECK(publish(settings).kind == Kind::NotSent);
    });
}

// Publishers race while answers are lost before and after the effect, reads are stale and appends
// take effect late. Whoever was told "accepted" has a version of its own, whoever was told
// "conflict" has none, and no change is made twice.
TEST(ConfigurationPublisher, NobodyIsToldAWrongWordUnderFaults)
{
    run([this] {
        SeededRandom random(11);
        std::map<std::string, PublishResult> results;
        for (int round = 0; round < 30; ++round) {
            LogFaults &faults = m_core.faults();
            faults.answersLostAfter = random.below(3);
            faults.answersLostBefore = random.below(2);
            faults.staleness = milliseconds(random.below(2) * 5);
            faults.effectDelay = milliseconds(random.below(2) * random.below(60));
            std::size_t running = 3;
            for (int i = 0; i < 3; ++i) {
                m_loop->spawn([&, id = std::to_string(round) + "-" + std::to_string(i)] {
                    PublishSettings settings = change(id);
                    settings.timeout = milliseconds(150);
                    results[id] = publish(settings);
                    --running;
                });
            }
            while (running > 0) {
                m_loop->sleepFor(milliseconds(1));
            }
        }
        while (m_server.activeCount() > 0) {
            m_loop->sleepFor(milliseconds(1));
        }
        m_core.faults() = {};
        const std::vector<std::string> accepted = acceptedChanges();
        CHECK(!accepted.empty());
        for (const auto &[id, result] : results) {
            const auto made = std::count(accepted.begin(), accepted.end(), id);
            CHECK(made <= 1);
            CHECK(result.kind != Kind::Accepted || made == 1);
            CHECK(result.kind != Kind::Accepted || accepted.at(result.version.value() - 1) == id);
            CHECK(made == 0 || result.kind == Kind::Accepted || result.kind == Kind::Unknown);
        }
    });
}

TEST(ConfigurationPublisher, DifferencesAreShownByLine)
{
    const std::vector<std::string> diff = lineDiff("a\nb\nc\nd\n", "a\nx\nc\ny\nd\n", 10);
    CHECK(diff == std::vector<std::string>({ "-b", "+x", "+y" }));
    CHECK(lineDiff("same\n", "same\n", 10).empty());
    CHECK_EQUAL(3, lineDiff("", "1\n2\n3\n4\n", 2).size());
}
