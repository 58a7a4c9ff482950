#include "protocol/loadreader.h"

#include <optional>

namespace ivyspar {

namespace {

constexpr char DIGITS[] = "0123456789";
/// Fits into 32 bits.
constexpr std::size_t MAX_DIGITS = 9;
constexpr std::size_t MIN_FIGURES = 3;
constexpr std::size_t MAX_FIGURES = 4;

std::optional<std::uint32_t> parseFigure(const std::string &text)
{
    if (text.empty() || text.size() > MAX_DIGITS
        || text.find_first_not_of(DIGITS) != std::string::npos) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(std::stoul(text));
}

/// Empty if the text is malformed.
std::vector<std::uint32_t> parseFigures(const std::string &text)
{
    std::vector<std::uint32_t> figures;
    std::size_t start = 0;
    while (start != std::string::npos) {
        const std::size_t comma = text.find(',', start);
        const std::size_t length = comma == std::string::npos ? comma : comma - start;
        const auto figure = parseFigure(text.substr(start, length));
        if (!figure || figures.size() == MAX_FIGURES) {
            return {};
        }
        figures.push_back(*figure);
        start = comma == std::string::npos ? comma : comma + 1;
    }
    return figures;
}

std::optional<StatedLoad> parseLoad(const std::string &text)
{
    const std::vector<std::uint32_t> figures = parseFigures(text);
    if (figures.size() < MIN_FIGURES) {
        return std::nullopt;
    }
    StatedLoad load{ figures[0], figures[1], figures[2], std::nullopt };
    if (figures.size() == MAX_FIGURES) {
        load.workTime = WorkTimePercent(figures[3]);
    }
    const bool isValid = load.slots > 0 && load.workTime != WorkTimePercent(0);
    return isValid ? std::optional(load) : std::nullopt;
}

} // namespace

LoadStatement readLoad(const std::vector<HttpHeader> &headers, const std::string &name)
{
    LoadStatement statement;
    std::size_t count = 0;
    for (const HttpHeader &header : headers) {
        if (isSameHeader(header.name, name)) {
            ++count;
            statement.load = parseLoad(header.value);
        }
    }
    statement.isMalformed = count > 1 || (count == 1 && !statement.load);
    if (statement.isMalformed) {
        statement.load.reset();
    }
    return statement;
}

} // namespace ivyspar
