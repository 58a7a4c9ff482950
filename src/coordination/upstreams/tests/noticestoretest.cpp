#include "coordination/upstreams/noticestore.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const DaemonId DAEMON("host-1");
const ServiceName SERVICE("catalogo");
const UpstreamNotice LEAVING{ UpstreamRunName("i-1"), std::nullopt, true };

} // namespace

TEST_GROUP(NoticeStore)
{
    NoticeStore m_store;
};

TEST(NoticeStore, KeepsTheLatestNoticeOfEachServer)
{
    m_store.store(DAEMON, SERVICE, LEAVING);
    CHECK(*m_store.find(DAEMON, SERVICE) == LEAVING);
    CHECK_FALSE(m_store.find(DAEMON, ServiceName("cassa")).has_value());
    CHECK_FALSE(m_store.find(DaemonId("host-2"), SERVICE).has_value());
    m_store.store(DAEMON, SERVICE, UpstreamNotice());
    CHECK_FALSE(m_store.find(DAEMON, SERVICE).has_value());
}

// Guards against memory that grows with all hosts there ever were.
TEST(NoticeStore, NumberOfNoticesIsBounded)
{
    for (int i = 0; i < 10000; ++i) {
        m_store.store(DaemonId("host-" + std::to_string(i)), SERVICE, LEAVING);
    }
    int kept = 0;
    for (int i = 0; i < 10000; ++i) {
        kept += m_store.find(DaemonId("host-" + std::to_string(i)), SERVICE) ? 1 : 0;
    }
    CHECK_EQUAL(4096, kept);
    CHECK(m_store.find(DaemonId("host-9999"), SERVICE).has_value());
}
