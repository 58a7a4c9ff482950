#include "protocol/configurationexchange.h"

#include <utility>

#include "protocol/internal/boundedcbor.h"
#include "protocol/internal/cborfields.h"
#include "protocol/internal/configurationrecordcodec.h"

namespace ivyspar {

namespace {

using Json = nlohmann::json;

constexpr char MESSAGE[] = "configuration";
constexpr char OFFER[] = "offer";
constexpr char REQUEST[] = "request";
constexpr char PUSH[] = "push";

constexpr char VERSION[] = "version";
constexpr char HAS_POSITION[] = "has_position";
constexpr char POSITION[] = "position";
constexpr char CHANGE_ID[] = "id";
constexpr char DIGEST[] = "digest";
constexpr char INVENTORY[] = "inventory";
constexpr char RULES[] = "rules";

constexpr std::size_t MAX_MESSAGE_NAME_BYTES = 16;

Json toJson(const ConfigurationOffer &offer)
{
    return { { MESSAGE, OFFER },
             { VERSION, offer.version.value() },
             { HAS_POSITION, offer.hasPosition } };
}

Json toJson(const ConfigurationRequest & /*request*/)
{
    return Json::object({ { MESSAGE, REQUEST } });
}

Json toJson(const ConfigurationPush &push)
{
    const AcceptedConfiguration &accepted = push.accepted;
    Json map{ { MESSAGE, PUSH },
              { VERSION, accepted.version.value() },
              { CHANGE_ID, accepted.changeId },
              { DIGEST, accepted.digest },
              { INVENTORY, accepted.inventory },
              { RULES, accepted.rules } };
    if (accepted.position) {
        map[POSITION] = accepted.position->value();
    }
    return map;
}

tl::unexpected<Error> malformed()
{
    return makeError(ErrorCode::InvalidArgument, "malformed configuration message");
}

RetVal<ConfigurationMessage> readOffer(const Json &map)
{
    const auto version = unsignedField<std::uint64_t>(map, VERSION);
    const auto hasPosition = map.find(HAS_POSITION);
    if (!version || hasPosition == map.end() || !hasPosition->is_boolean()) {
        return malformed();
    }
    return ConfigurationOffer{ ConfigurationVersion(*version), hasPosition->get<bool>() };
}

RetVal<ConfigurationMessage> readPush(const Json &map)
{
    const auto version = unsignedField<std::uint64_t>(map, VERSION);
    const auto id = textField(map, CHANGE_ID, MAX_CHANGE_ID_BYTES);
    const auto digest = unsignedField<std::uint64_t>(map, DIGEST);
    auto inventory = textField(map, INVENTORY, MAX_CONFIGURATION_BYTES);
    auto rules = textField(map, RULES, MAX_CONFIGURATION_BYTES);
    if (!version || !id || !digest || !inventory || !rules) {
        return malformed();
    }
    ConfigurationPush push;
    push.accepted.version = ConfigurationVersion(*version);
    push.accepted.changeId = *id;
    push.accepted.digest = *digest;
    push.accepted.inventory = std::move(*inventory);
    push.accepted.rules = std::move(*rules);
    if (const auto position = unsignedField<std::uint64_t>(map, POSITION)) {
        push.accepted.position = LogOffset(*position);
    }
    return push;
}

} // namespace

RetVal<std::string> encodeConfigurationMessage(const ConfigurationMessage &message)
{
    if (const auto *push = std::get_if<ConfigurationPush>(&message)) {
        if (push->accepted.inventory.size() + push->accepted.rules.size()
            > MAX_CONFIGURATION_BYTES) {
            return makeError(ErrorCode::InvalidArgument,
                             "inventory and rules are too large for a configuration message");
        }
    }
    return std::visit([](const auto &each) { return toCbor(toJson(each)); }, message);
}

RetVal<ConfigurationMessage> decodeConfigurationMessage(const std::string &payload)
{
    const std::optional<Json> map = parseCbor(payload);
    if (!map || !map->is_object()) {
        return makeError(ErrorCode::NotFound, "not a configuration message");
    }
    const auto name = textField(*map, MESSAGE, MAX_MESSAGE_NAME_BYTES);
    if (!name) {
        return makeError(ErrorCode::NotFound, "not a configuration message");
    }
    if (*name == OFFER) {
        return readOffer(*map);
    }
    if (*name == REQUEST) {
        return ConfigurationRequest{};
    }
    if (*name == PUSH) {
        return readPush(*map);
    }
    return malformed();
}

} // namespace ivyspar
