#include "protocol/internal/announcementreader.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

std::string announce(const std::string &more)
{
    return R"({"service":"desk","address":"127.0.0.1:9000","slots":8,"connections":20)" + more
        + '}';
}

} // namespace

TEST_GROUP(AnnouncementReader){};

TEST(AnnouncementReader, VersionIsOptional)
{
    CHECK(readAnnouncement(announce(""))->version == UpstreamVersion());
    CHECK(readAnnouncement(announce(R"(,"version":"v2")"))->version == UpstreamVersion("v2"));
}

TEST(AnnouncementReader, InvalidVersionIsRejected)
{
    const std::string longest(64, 'v');
    CHECK(readAnnouncement(announce(",\"version\":\"" + longest + '"')).has_value());
    CHECK_FALSE(readAnnouncement(announce(",\"version\":\"" + longest + "v\"")).has_value());
    CHECK_FALSE(readAnnouncement(announce(R"(,"version":7)")).has_value());
    CHECK_FALSE(readAnnouncement(announce(R"(,"version":"")")).has_value());
}
