#include "app/internal/commands/linediff.h"

#include <algorithm>
#include <cstdint>

namespace ivyspar {

namespace {

using Lines = std::vector<std::string>;

/// Limit for the comparison table (16 MB). Larger differences are shown as one block.
constexpr std::size_t MAX_CELLS = 4 * 1024 * 1024;

Lines splitLines(const std::string &text)
{
    Lines lines;
    std::size_t start = 0;
    while (start < text.size()) {
        const std::size_t end = std::min(text.find('\n', start), text.size());
        lines.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return lines;
}

/// Removes the common lines at the start and at the end.
void trimCommon(Lines &a, Lines &b)
{
    const auto start = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
    a.erase(a.begin(), start.first);
    b.erase(b.begin(), start.second);
    const auto end = std::mismatch(a.rbegin(), a.rend(), b.rbegin(), b.rend());
    a.erase(end.first.base(), a.end());
    b.erase(end.second.base(), b.end());
}

/// Length of the longest common subsequence of the remaining lines, for each pair of positions.
class CommonLengths
{
public:
    CommonLengths(const Lines &a, const Lines &b)
        : m_width(b.size() + 1)
        , m_lengths((a.size() + 1) * m_width)
    {
        for (std::size_t i = a.size(); i-- > 0;) {
            for (std::size_t j = b.size(); j-- > 0;) {
                m_lengths[i * m_width + j] =
                    a[i] == b[j] ? at(i + 1, j + 1) + 1 : std::max(at(i + 1, j), at(i, j + 1));
            }
        }
    }

    std::uint32_t at(std::size_t i, std::size_t j) const { return m_lengths[i * m_width + j]; }

private:
    std::size_t m_width;
    std::vector<std::uint32_t> m_lengths;
};

Lines compare(const Lines &a, const Lines &b)
{
    Lines result;
    std::size_t i = 0;
    std::size_t j = 0;
    if ((a.size() + 1) * (b.size() + 1) <= MAX_CELLS) {
        const CommonLengths lengths(a, b);
        while (i < a.size() && j < b.size()) {
            if (a[i] == b[j]) {
                ++i;
                ++j;
            } else if (lengths.at(i + 1, j) >= lengths.at(i, j + 1)) {
                result.push_back("-" + a[i++]);
            } else {
                result.push_back("+" + b[j++]);
            }
        }
    }
    for (; i < a.size(); ++i) {
        result.push_back("-" + a[i]);
    }
    for (; j < b.size(); ++j) {
        result.push_back("+" + b[j]);
    }
    return result;
}

} // namespace

std::vector<std::string> lineDiff(const std::string &before, const std::string &after,
                                  std::size_t maxLines)
{
    Lines a = splitLines(before);
    Lines b = splitLines(after);
    trimCommon(a, b);
    Lines result = compare(a, b);
    if (result.size() > maxLines) {
        const std::size_t more = result.size() - maxLines;
        result.resize(maxLines);
        result.push_back("… and " + std::to_string(more) + " more lines");
    }
    return result;
}

} // namespace ivyspar
