#include "protocol/internal/announcementreader.h"

#include <nlohmann/json.hpp>

namespace ivyspar {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t MAX_SLOTS = 1000000;
constexpr std::size_t MAX_VERSION = 64;

tl::unexpected<Error> wrong(const std::string &text)
{
    return makeError(ErrorCode::InvalidArgument, text);
}

bool readCount(const Json &document, const char *key, std::uint32_t &count)
{
    const auto field = document.find(key);
    if (field == document.end() || !field->is_number_unsigned()) {
        return false;
    }
    const auto value = field->get<std::uint64_t>();
    count = static_cast<std::uint32_t>(value);
    return value >= 1 && value <= MAX_SLOTS;
}

bool readText(const Json &document, const char *key, std::string &text)
{
    const auto field = document.find(key);
    if (field == document.end() || !field->is_string()) {
        return false;
    }
    text = field->get<std::string>();
    return !text.empty();
}

bool readVersion(const Json &document, std::string &version)
{
    return readText(document, "version", version) && version.size() <= MAX_VERSION;
}

} // namespace

RetVal<UpstreamReport> readAnnouncement(const std::string &json)
{
    const Json document = Json::parse(json, nullptr, false);
    if (!document.is_object()) {
        return wrong("expected a JSON object");
    }
    UpstreamReport announcement;
    std::string service;
    if (!readText(document, "service", service)) {
        return wrong("\"service\" must be a non-empty string");
    }
    announcement.service = ServiceName(service);
    std::string address;
    if (!readText(document, "address", address)) {
        return wrong("\"address\" must be a string, IP:PORT");
    }
    const auto endpoint = Endpoint::parse(address);
    if (!endpoint) {
        return wrong("\"address\": " + endpoint.error().text);
    }
    announcement.endpoint = *endpoint;
    if (!readCount(document, "slots", announcement.slots)) {
        return wrong("\"slots\" must be a whole number from 1 to 1000000");
    }
    if (!readCount(document, "connections", announcement.connections)) {
        return wrong("\"connections\" must be a whole number from 1 to 1000000");
    }
    std::string version;
    if (document.contains("version") && !readVersion(document, version)) {
        return wrong("\"version\" must be a string of 1 to 64 characters");
    }
    announcement.version = UpstreamVersion(version);
    const auto draining = document.find("draining");
    if (draining != document.end() && !draining->is_boolean()) {
        return wrong("\"draining\" must be true or false");
    }
    const bool isDraining = draining != document.end() && draining->get<bool>();
    announcement.phase = isDraining ? UpstreamPhase::Draining : UpstreamPhase::Ready;
    return announcement;
}

} // namespace ivyspar
