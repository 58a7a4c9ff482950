#include "coordination/configuration/configurationdigest.h"
#include "protocol/configurationexchange.h"
#include "protocol/internal/configurationrecordcodec.h"
#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

ConfigurationRecord makeRecord()
{
    ConfigurationRecord record;
    record.kind = ConfigurationRecord::Kind::Snapshot;
    record.changeId = "7-abc";
    record.base = ConfigurationVersion(8);
    record.inventory = "[[service]]\n";
    record.rules = "";
    record.digest = configurationDigest(record.inventory, record.rules);
    record.position = LogOffset(41);
    return record;
}

} // namespace

TEST_GROUP(ConfigurationCodec){};

TEST(ConfigurationCodec, RecordKeepsAllFields)
{
    const ConfigurationRecord record = makeRecord();
    const auto decoded = decodeConfigurationRecord(encodeConfigurationRecord(record).value());
    CHECK(decoded.has_value());
    CHECK(decoded->kind == record.kind);
    STRCMP_EQUAL(record.changeId.c_str(), decoded->changeId.c_str());
    CHECK(decoded->base == record.base);
    CHECK(decoded->digest == record.digest);
    STRCMP_EQUAL(record.inventory.c_str(), decoded->inventory.c_str());
    STRCMP_EQUAL(record.rules.c_str(), decoded->rules.c_str());
    CHECK(decoded->position == record.position);
}

TEST(ConfigurationCodec, OversizedTextsAreRejected)
{
    ConfigurationRecord record = makeRecord();
    record.inventory.assign(MAX_CONFIGURATION_BYTES, 'x');
    CHECK(encodeConfigurationRecord(record).has_value());
    record.rules = "y";
    CHECK_FALSE(encodeConfigurationRecord(record).has_value());
    CHECK_FALSE(decodeConfigurationRecord(std::string(MAX_CONFIGURATION_RECORD_BYTES + 1, 'x')));
}

TEST(ConfigurationCodec, DamagedRecordsAreRejected)
{
    SeededRandom random(5);
    const std::string good = encodeConfigurationRecord(makeRecord()).value();
    for (int i = 0; i < 5000; ++i) {
        std::string bytes = good.substr(0, 1 + random.below(good.size()));
        bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        decodeConfigurationRecord(bytes);
        decodeConfigurationMessage(bytes);
    }
    CHECK_FALSE(decodeConfigurationRecord("").has_value());
    CHECK_FALSE(decodeConfigurationRecord(good.substr(0, good.size() - 1)).has_value());
}

TEST(ConfigurationCodec, DigestDependsOnFileBoundary)
{
    CHECK(configurationDigest("ab", "c") != configurationDigest("a", "bc"));
    CHECK(configurationDigest("", "abc") != configurationDigest("abc", ""));
}

TEST(ConfigurationCodec, PushKeepsAllFields)
{
    ConfigurationPush push;
    push.accepted = { ConfigurationVersion(3), "id", 77, "inventory", "rules", {}, LogOffset(9) };
    const auto decoded = decodeConfigurationMessage(encodeConfigurationMessage(push).value());
    CHECK(decoded.has_value());
    const AcceptedConfiguration &accepted = std::get<ConfigurationPush>(*decoded).accepted;
    CHECK(accepted.version == push.accepted.version);
    CHECK(accepted.digest == push.accepted.digest);
    CHECK(accepted.position == push.accepted.position);
    STRCMP_EQUAL("rules", accepted.rules.c_str());
}

TEST(ConfigurationCodec, OfferKeepsAllFieldsAndForeignMessagesAreNotFound)
{
    const ConfigurationOffer offer{ ConfigurationVersion(3), true };
    const auto decoded = decodeConfigurationMessage(encodeConfigurationMessage(offer).value());
    CHECK(std::get<ConfigurationOffer>(decoded.value()).version == offer.version);
    CHECK(std::get<ConfigurationOffer>(decoded.value()).hasPosition);
    const auto request =
        decodeConfigurationMessage(encodeConfigurationMessage(ConfigurationRequest{}).value());
    CHECK(std::holds_alternative<ConfigurationRequest>(request.value()));
    CHECK(decodeConfigurationMessage("\xA0").error().code == ErrorCode::NotFound);
}
