#include "protocol/internal/announcementreader.h"

#include <nlohmann/json.hpp>

namespace ivyspar {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t MAX_SLOTS = 1000000;
constexpr std::size_t MAX_NAME_BYTES = 64;

tl::unexpected<Error> invalidReport(const std::string &text)
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

bool readName(const Json &document, const char *key, std::string &name)
{
    return readText(document, key, name) && name.size() <= MAX_NAME_BYTES;
}

} // namespace

RetVal<UpstreamReport> readAnnouncement(const std::string &json)
{
    const Json document = Json::parse(json, nullptr, false);
    if (!document.is_object()) {
        return invalidReport("expected a JSON object");
    }
    UpstreamReport report;
    std::string service;
    if (!readText(document, "service", service)) {
        return invalidReport("\"service\" must be a non-empty string");
    }
    report.service = ServiceName(service);
    std::string address;
    if (!readText(document, "address", address)) {
        return invalidReport("\"address\" must be a string, IP:PORT");
    }
    const auto endpoint = Endpoint::parse(address);
    if (!endpoint) {
        return invalidReport("\"address\": " + endpoint.error().text);
    }
    report.endpoint = *endpoint;
    if (!readCount(document, "slots", report.slots)) {
        return invalidReport("\"slots\" must be a whole number from 1 to 1000000");
    }
    if (!readCount(document, "connections", report.connections)) {
        return invalidReport("\"connections\" must be a whole number from 1 to 1000000");
    }
    std::string version;
    if (document.contains("version") && !readName(document, "version", version)) {
        return invalidReport("\"version\" must be a string of 1 to 64 characters");
    }
    report.version = UpstreamVersion(version);
    std::string run;
    if (document.contains("run") && !readName(document, "run", run)) {
        return invalidReport("\"run\" must be a string of 1 to 64 characters");
    }
    report.run.instance = UpstreamId(run);
    const auto draining = document.find("draining");
    if (draining != document.end() && !draining->is_boolean()) {
        return invalidReport("\"draining\" must be true or false");
    }
    const bool isDraining = draining != document.end() && draining->get<bool>();
    report.phase = isDraining ? UpstreamPhase::Draining : UpstreamPhase::Ready;
    return report;
}

} // namespace ivyspar
