#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/iconfigurationreader.h"
#include "protocol/internal/toml.h"
#include "state/time.h"

namespace ivyspar {

/// Problems of one file.
struct FileProblems
{
    std::string file;
    std::vector<FileProblem> problems;

    void add(std::uint32_t line, const std::string &key, const std::string &problem,
             const std::string &expected);
};

struct NumberRange
{
    std::int64_t minimum;
    std::int64_t maximum;
};

struct DurationRange
{
    Duration minimum;
    Duration maximum;
};

/// Reads typed values from one TOML table and reports invalid ones as problems. An invalid value is
/// absent from the result.
class TomlTable
{
public:
    /// `path` is the dotted key of the table; empty for the root table.
    TomlTable(const toml::table &table, std::string path, FileProblems &problems);

    /// Required; one to 64 letters, digits, `.`, `_` and `-`.
    std::optional<std::string> name(const char *key);
    std::optional<std::string> optionalText(const char *key);
    std::optional<std::uint32_t> number(const char *key, NumberRange range);
    std::optional<std::uint32_t> optionalNumber(const char *key, NumberRange range);
    std::optional<Duration> duration(const char *key, const DurationRange &range);
    std::optional<Duration> optionalDuration(const char *key, const DurationRange &range);
    bool flag(const char *key, bool defaultValue);
    /// The tables of `[[key]]`, at least one.
    std::vector<TomlTable> tables(const char *key);
    /// As `tables`, but empty if there is no such key.
    std::vector<TomlTable> optionalTables(const char *key);
    /// A list of at least one text.
    std::vector<std::string> texts(const char *key);

    bool has(const char *key) const;
    /// Line of the value, or of the table if it has no such key.
    std::uint32_t line(const char *key) const;
    /// Reports a problem with the value of `key`.
    void fail(const char *key, const std::string &problem, const std::string &expected);
    /// Reports all keys that were not read before.
    void reportUnknownKeys();

private:
    const toml::node *take(const char *key);
    const toml::node *takeRequired(const char *key, const std::string &expected);
    std::string pathOf(const std::string &key) const;
    std::optional<std::uint32_t> toNumber(const char *key, const toml::node &node,
                                          NumberRange range);
    std::optional<Duration> toDuration(const char *key, const toml::node &node,
                                       const DurationRange &range);

    const toml::table &m_table;
    std::string m_path;
    FileProblems &m_problems;
    std::vector<std::string> m_knownKeys;
};

/// Names that must be unique in a file.
class UniqueNames
{
public:
    /// Reports a problem if the name has been added before.
    void add(TomlTable &table, const char *key, const std::string &name);
    /// True for all names if none was added, as that is reported separately.
    bool isKnown(const std::string &name) const
    {
        return m_lines.empty() || m_lines.count(name) > 0;
    }
    /// All names, for the description of a problem.
    std::string list() const;

private:
    std::map<std::string, std::uint32_t> m_lines;
};

} // namespace ivyspar
