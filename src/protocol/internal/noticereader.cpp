#include "protocol/noticereader.h"

#include <algorithm>

namespace ivyspar {

namespace {

constexpr char LEAVING[] = "1";
constexpr char DIGITS[] = "0123456789";
constexpr std::size_t MAX_WHOLE_DIGITS = 12;
constexpr std::size_t MAX_FRACTION_DIGITS = 12;
/// `RequestRate` counts thousandths.
constexpr std::size_t RATE_DECIMALS = 3;

bool isNumber(const std::string &text, std::size_t maxDigits)
{
    return !text.empty() && text.size() <= maxDigits
        && text.find_first_not_of(DIGITS) == std::string::npos;
}

} // namespace

std::optional<RequestRate> parseRequestRate(const std::string &text)
{
    const std::size_t point = text.find('.');
    const std::string whole = text.substr(0, point);
    std::string fraction = point == std::string::npos ? "0" : text.substr(point + 1);
    if (!isNumber(whole, MAX_WHOLE_DIGITS) || !isNumber(fraction, MAX_FRACTION_DIGITS)) {
        return std::nullopt;
    }
    fraction.resize(RATE_DECIMALS, '0');
    return RequestRate(std::stoull(whole + fraction));
}

ResponseNotice readNotice(const std::vector<HttpHeader> &headers, const NoticeHeaders &names)
{
    ResponseNotice notice;
    std::size_t limits = 0;
    for (const HttpHeader &header : headers) {
        if (isSameHeader(header.name, names.rateLimit)) {
            ++limits;
            notice.rateLimit = parseRequestRate(header.value);
        }
        notice.isLeaving = notice.isLeaving
            || (isSameHeader(header.name, names.leaving) && header.value == LEAVING);
    }
    notice.isRateLimitMalformed = limits > 1 || (limits == 1 && !notice.rateLimit);
    if (notice.isRateLimitMalformed) {
        notice.rateLimit.reset();
    }
    return notice;
}

} // namespace ivyspar
