#include "protocol/internal/configurationrecordcodec.h"

#include <utility>

#include "protocol/internal/boundedcbor.h"
#include "protocol/internal/cborfields.h"

namespace ivyspar {

namespace {

using Json = nlohmann::json;

constexpr char KIND[] = "kind";
constexpr char CHANGE_ID[] = "id";
constexpr char BASE[] = "base";
constexpr char DIGEST[] = "digest";
constexpr char INVENTORY[] = "inventory";
constexpr char RULES[] = "rules";
constexpr char POSITION[] = "position";

constexpr char CHANGE_KIND[] = "change";
constexpr char SNAPSHOT_KIND[] = "snapshot";
constexpr char RESTART_KIND[] = "restart";

const char *toText(ConfigurationRecord::Kind kind)
{
    switch (kind) {
    case ConfigurationRecord::Kind::Snapshot:
        return SNAPSHOT_KIND;
    case ConfigurationRecord::Kind::Restart:
        return RESTART_KIND;
    case ConfigurationRecord::Kind::Change:
        break;
    }
    return CHANGE_KIND;
}

RetVal<ConfigurationRecord::Kind> kindOf(const Json &map)
{
    const std::optional<std::string> kind = textField(map, KIND, MAX_CHANGE_ID_BYTES);
    if (kind == CHANGE_KIND) {
        return ConfigurationRecord::Kind::Change;
    }
    if (kind == SNAPSHOT_KIND) {
        return ConfigurationRecord::Kind::Snapshot;
    }
    if (kind == RESTART_KIND) {
        return ConfigurationRecord::Kind::Restart;
    }
    return makeError(ErrorCode::InvalidArgument, "configuration record of an unknown kind");
}

} // namespace

RetVal<std::string> encodeConfigurationRecord(const ConfigurationRecord &record)
{
    if (record.inventory.size() + record.rules.size() > MAX_CONFIGURATION_BYTES) {
        return makeError(ErrorCode::InvalidArgument,
                         "inventory and rules together are larger than "
                             + std::to_string(MAX_CONFIGURATION_BYTES) + " bytes");
    }
    if (record.changeId.size() > MAX_CHANGE_ID_BYTES) {
        return makeError(ErrorCode::InvalidArgument,
                         "the change id is longer than " + std::to_string(MAX_CHANGE_ID_BYTES)
                             + " bytes");
    }
    const Json map{ { KIND, toText(record.kind) },        { CHANGE_ID, record.changeId },
                    { BASE, record.base.value() },        { DIGEST, record.digest },
                    { INVENTORY, record.inventory },      { RULES, record.rules },
                    { POSITION, record.position.value() } };
    return toCbor(map);
}

RetVal<ConfigurationRecord> decodeConfigurationRecord(const std::string &bytes)
{
    if (bytes.size() > MAX_CONFIGURATION_RECORD_BYTES) {
        return makeError(ErrorCode::InvalidArgument, "configuration record too large");
    }
    const std::optional<Json> map = parseCbor(bytes);
    if (!map || !map->is_object()) {
        return makeError(ErrorCode::InvalidArgument, "not a configuration record");
    }
    const RetVal<ConfigurationRecord::Kind> kind = kindOf(*map);
    if (!kind) {
        return tl::unexpected<Error>(kind.error());
    }
    const auto id = textField(*map, CHANGE_ID, MAX_CHANGE_ID_BYTES);
    const auto base = unsignedField<std::uint64_t>(*map, BASE);
    const auto digest = unsignedField<std::uint64_t>(*map, DIGEST);
    auto inventory = textField(*map, INVENTORY, MAX_CONFIGURATION_BYTES);
    auto rules = textField(*map, RULES, MAX_CONFIGURATION_BYTES);
    const auto position = unsignedField<std::uint64_t>(*map, POSITION);
    if (!id || !base || !digest || !inventory || !rules || !position) {
        return makeError(ErrorCode::InvalidArgument,
                         "a field of the configuration record is missing or malformed");
    }
    ConfigurationRecord record;
    record.kind = *kind;
    record.changeId = *id;
    record.base = ConfigurationVersion(*base);
    record.digest = *digest;
    record.inventory = std::move(*inventory);
    record.rules = std::move(*rules);
    record.position = LogOffset(*position);
    return record;
}

} // namespace ivyspar
