#include "standins/log/logcore.h"
#include "standins/log/logfaultscodec.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace ivyspar::lab;
using std::chrono::seconds;

TEST_GROUP(LogCore)
{
    LogLimits m_limits;
    std::unique_ptr<LogCore> m_core = std::make_unique<LogCore>(m_limits);
    StreamName m_stream{ "s" };
    TimePoint m_now{ seconds(1000) };

    AppendResult append(const std::string &payload, const std::string &client = "")
    {
        return m_core->append(m_stream, payload, client, m_now);
    }
    LogPage read(std::uint64_t from, std::uint32_t max = 1000)
    {
        return m_core->read(m_stream, LogOffset(from), max, "", m_now).page;
    }
};

TEST(LogCore, OffsetsAreDensePerStream)
{
    CHECK(append("a").offset == LogOffset(0));
    CHECK(append("b").offset == LogOffset(1));
    CHECK(m_core->append(StreamName("t"), "c", "", m_now).offset == LogOffset(0));
    CHECK_EQUAL(2, read(0).records.size());
    CHECK_EQUAL(1, read(1).records.size());
    CHECK_EQUAL(1, read(0, 1).records.size());
    CHECK(read(5).records.empty());
    CHECK(read(5).end == LogOffset(2));
}

TEST(LogCore, RecordsAreForgottenByCountAndAge)
{
    m_core->limits().keptRecords = 2;
    append("a");
    append("b");
    append("c");
    CHECK(read(0).first == LogOffset(1));
    STRCMP_EQUAL("b", read(0).records.at(0).payload.c_str());
    m_now += m_limits.keptFor + seconds(1);
    CHECK(read(0).first == LogOffset(3));
    CHECK(read(0).end == LogOffset(3));
    CHECK(append("d").offset == LogOffset(3));
}

TEST(LogCore, AppendsASecondAreLimited)
{
    std::uint32_t accepted = 0;
    for (int i = 0; i < 1000; ++i) {
        accepted += append("a").kind == AppendResult::Kind::Appended ? 1 : 0;
    }
    CHECK_EQUAL(m_limits.appendsPerSecond, accepted);
    CHECK(append("a").kind == AppendResult::Kind::Throttled);
    m_now += seconds(1);
    CHECK(append("a").kind == AppendResult::Kind::Appended);
}

TEST(LogCore, LostAnswersDifferInEffect)
{
    m_core->faults().answersLostBefore = 1;
    CHECK(append("a").kind == AppendResult::Kind::NoAnswer);
    CHECK_EQUAL(0, read(0).records.size());
    m_core->faults().answersLostAfter = 1;
    CHECK(append("a").kind == AppendResult::Kind::NoAnswer);
    CHECK_EQUAL(1, read(0).records.size());
    CHECK(append("b").kind == AppendResult::Kind::Appended);
}

TEST(LogCore, FaultsCutAndHide)
{
    m_core->faults().cutClients = { "x" };
    CHECK(append("a", "x").kind == AppendResult::Kind::NoAnswer);
    CHECK(append("a", "y").kind == AppendResult::Kind::Appended);
    m_core->faults().staleness = seconds(5);
    m_now += seconds(3);
    append("b");
    CHECK(read(0).end == LogOffset(0));
    m_now += seconds(2);
    CHECK(read(0).end == LogOffset(1));
    m_core->faults().isDown = true;
    CHECK(append("c").kind == AppendResult::Kind::Down);
}

TEST(LogCore, FaultsAreSetTogetherOrNotAtAll)
{
    LogFaults faults;
    CHECK(applyFaults(R"({"down":true,"stale_ms":50,"lost_after":2,"cut_clients":["a"]})", faults)
              .has_value());
    CHECK(faults.isDown);
    CHECK(faults.staleness == std::chrono::milliseconds(50));
    CHECK_EQUAL(2, faults.answersLostAfter);
    CHECK_FALSE(applyFaults(R"({"down":false,"no_such":1})", faults).has_value());
    CHECK(faults.isDown);
}
