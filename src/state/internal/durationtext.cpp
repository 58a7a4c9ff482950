#include "state/durationtext.h"

#include <charconv>

namespace ivyspar {

namespace {

struct Unit
{
    const char *name;
    std::int64_t microseconds;
};

// In descending order.
constexpr Unit UNITS[] = {
    { "h", 3'600'000'000 }, { "min", 60'000'000 }, { "s", 1'000'000 }, { "ms", 1'000 }, { "us", 1 },
};
// Prevents overflow in sums and multiples of durations.
constexpr std::int64_t MAX_MICROSECONDS = 366LL * 24 * 3'600'000'000;

const Unit *findUnit(const std::string &name)
{
    for (const Unit &unit : UNITS) {
        if (name == unit.name) {
            return &unit;
        }
    }
    return nullptr;
}

auto malformed(const std::string &text)
{
    return makeError(ErrorCode::InvalidArgument,
                     '"' + text + "\" is not a duration with a unit, such as \"250ms\"");
}

} // namespace

RetVal<Duration> parseDuration(const std::string &text)
{
    std::int64_t number = 0;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    if (error != std::errc() || number < 0) {
        return malformed(text);
    }
    const Unit *unit = findUnit(std::string(end, last));
    if (!unit) {
        return malformed(text);
    }
    if (number > MAX_MICROSECONDS / unit->microseconds) {
        return makeError(ErrorCode::InvalidArgument, '"' + text + "\" is longer than 366 days");
    }
    return Duration(number * unit->microseconds);
}

std::string toText(Duration duration)
{
    const std::int64_t count = duration.count();
    for (const Unit &unit : UNITS) {
        if (count != 0 && count % unit.microseconds == 0) {
            return std::to_string(count / unit.microseconds) + unit.name;
        }
    }
    return "0s";
}

} // namespace ivyspar
