#include "standins/log/logfaultscodec.h"

#include <optional>

#include <nlohmann/json.hpp>

namespace ivyspar::lab {

namespace {

using Json = nlohmann::json;

bool readNames(const Json &value, std::set<std::string> &names)
{
    if (!value.is_array()) {
        return false;
    }
    std::set<std::string> read;
    for (const Json &each : value) {
        if (!each.is_string()) {
            return false;
        }
        read.insert(each.get<std::string>());
    }
    names = read;
    return true;
}

std::optional<Duration> readMilliseconds(const Json &value)
{
    if (!value.is_number_unsigned()) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value.get<std::uint32_t>());
}

bool setDuration(const Json &value, Duration &duration)
{
    const std::optional<Duration> read = readMilliseconds(value);
    duration = read.value_or(duration);
    return read.has_value();
}

bool setCount(const Json &value, std::uint32_t &count)
{
    count = value.is_number_unsigned() ? value.get<std::uint32_t>() : count;
    return value.is_number_unsigned();
}

bool setFlag(const Json &value, bool &flag)
{
    flag = value.is_boolean() ? value.get<bool>() : flag;
    return value.is_boolean();
}

bool applyFault(const std::string &name, const Json &value, LogFaults &faults)
{
    if (name == "down") {
        return setFlag(value, faults.isDown);
    }
    if (name == "silent") {
        return setFlag(value, faults.isSilent);
    }
    if (name == "answer_delay_ms") {
        return setDuration(value, faults.answerDelay);
    }
    if (name == "effect_delay_ms") {
        return setDuration(value, faults.effectDelay);
    }
    if (name == "stale_ms") {
        return setDuration(value, faults.staleness);
    }
    if (name == "lost_after") {
        return setCount(value, faults.answersLostAfter);
    }
    if (name == "lost_before") {
        return setCount(value, faults.answersLostBefore);
    }
    return name == "cut_clients" && readNames(value, faults.cutClients);
}

} // namespace

Ret applyFaults(const std::string &json, LogFaults &faults)
{
    const Json map = Json::parse(json, nullptr, false);
    if (!map.is_object()) {
        return makeError(ErrorCode::InvalidArgument, "expected a JSON object");
    }
    LogFaults changed = faults;
    for (const auto &[name, value] : map.items()) {
        if (!applyFault(name, value, changed)) {
            return makeError(ErrorCode::InvalidArgument, "bad fault: " + name);
        }
    }
    faults = changed;
    return {};
}

} // namespace ivyspar::lab
