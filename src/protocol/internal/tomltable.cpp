#include "protocol/internal/tomltable.h"

#include <algorithm>
#include <cctype>

#include "state/durationtext.h"

namespace ivyspar {

namespace {

constexpr std::size_t MAX_NAME_BYTES = 64;
const char NAME_EXPECTED[] = "a text of 1 to 64 letters, digits, '.', '_' and '-'";

bool isNameCharacter(unsigned char c)
{
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= MAX_NAME_BYTES
        && std::all_of(text.begin(), text.end(), isNameCharacter);
}

std::string expectedText(NumberRange range)
{
    return "a whole number from " + std::to_string(range.minimum) + " to "
        + std::to_string(range.maximum);
}

std::string expectedText(const DurationRange &range)
{
    return "a text with a unit (us, ms, s, min, h) from \"" + toText(range.minimum) + "\" to \""
        + toText(range.maximum) + '"';
}

std::uint32_t lineOf(const toml::node &node)
{
    return node.source().begin.line;
}

} // namespace

void FileProblems::add(std::uint32_t line, const std::string &key, const std::string &problem,
                       const std::string &expected)
{
    problems.push_back({ file, line, key, problem, expected });
}

TomlTable::TomlTable(const toml::table &table, std::string path, FileProblems &problems)
    : m_table(table)
    , m_path(std::move(path))
    , m_problems(problems)
{
}

std::optional<std::string> TomlTable::name(const char *key)
{
    const toml::node *node = takeRequired(key, NAME_EXPECTED);
    if (!node) {
        return std::nullopt;
    }
    auto text = node->value_exact<std::string>();
    if (!text || !isName(*text)) {
        fail(key, "is not a name", NAME_EXPECTED);
        return std::nullopt;
    }
    return text;
}

std::optional<std::string> TomlTable::optionalText(const char *key)
{
    const toml::node *node = take(key);
    if (!node) {
        return std::nullopt;
    }
    auto text = node->value_exact<std::string>();
    if (!text) {
        fail(key, "is not a text", "a text in quotes");
    }
    return text;
}

std::optional<std::uint32_t> TomlTable::number(const char *key, NumberRange range)
{
    const toml::node *node = takeRequired(key, expectedText(range));
    return node ? toNumber(key, *node, range) : std::nullopt;
}

std::optional<std::uint32_t> TomlTable::optionalNumber(const char *key, NumberRange range)
{
    const toml::node *node = take(key);
    return node ? toNumber(key, *node, range) : std::nullopt;
}

std::optional<std::uint32_t> TomlTable::toNumber(const char *key, const toml::node &node,
                                                 NumberRange range)
{
    const auto value = node.value_exact<std::int64_t>();
    if (!value) {
        fail(key, "is not a whole number", expectedText(range));
        return std::nullopt;
    }
    if (*value < range.minimum || *value > range.maximum) {
        fail(key, std::to_string(*value) + " is out of range", expectedText(range));
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(*value);
}

std::optional<Duration> TomlTable::duration(const char *key, const DurationRange &range)
{
    const toml::node *node = takeRequired(key, expectedText(range));
    return node ? toDuration(key, *node, range) : std::nullopt;
}

std::optional<Duration> TomlTable::optionalDuration(const char *key, const DurationRange &range)
{
    const toml::node *node = take(key);
    return node ? toDuration(key, *node, range) : std::nullopt;
}

std::optional<Duration> TomlTable::toDuration(const char *key, const toml::node &node,
                                              const DurationRange &range)
{
    if (node.is_number()) {
        fail(key, "the unit is missing", expectedText(range));
        return std::nullopt;
    }
    const auto text = node.value_exact<std::string>();
    if (!text) {
        fail(key, "is not a duration", expectedText(range));
        return std::nullopt;
    }
    const RetVal<Duration> duration = parseDuration(*text);
    if (!duration) {
        fail(key, duration.error().text, expectedText(range));
        return std::nullopt;
    }
    if (*duration < range.minimum || *duration > range.maximum) {
        fail(key, '"' + *text + "\" is out of range", expectedText(range));
        return std::nullopt;
    }
    return *duration;
}

bool TomlTable::flag(const char *key, bool defaultValue)
{
    const toml::node *node = take(key);
    if (!node) {
        return defaultValue;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        fail(key, "is not a boolean", "true or false");
    }
    return value.value_or(defaultValue);
}

std::vector<TomlTable> TomlTable::tables(const char *key)
{
    const std::string expected = std::string("at least one [[") + key + "]] table";
    const toml::node *node = takeRequired(key, expected);
    const toml::array *array = node ? node->as_array() : nullptr;
    if (node && (!array || array->empty())) {
        fail(key, "is not a list of tables", expected);
    }
    std::vector<TomlTable> tables;
    if (!array) {
        return tables;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const std::string path = pathOf(key) + '[' + std::to_string(i + 1) + ']';
        if (const toml::table *table = (*array)[i].as_table()) {
            tables.emplace_back(*table, path, m_problems);
        } else {
            m_problems.add(lineOf((*array)[i]), path, "is not a table", expected);
        }
    }
    return tables;
}

std::vector<TomlTable> TomlTable::optionalTables(const char *key)
{
    if (has(key)) {
        return tables(key);
    }
    m_knownKeys.emplace_back(key);
    return {};
}

std::vector<std::string> TomlTable::texts(const char *key)
{
    constexpr char EXPECTED[] = "a list of texts in quotes, at least one";
    const toml::node *node = takeRequired(key, EXPECTED);
    const toml::array *array = node ? node->as_array() : nullptr;
    std::vector<std::string> texts;
    for (std::size_t i = 0; array && i < array->size(); ++i) {
        if (auto text = (*array)[i].value_exact<std::string>()) {
            texts.push_back(std::move(*text));
        }
    }
    if (node && (!array || texts.empty() || texts.size() != array->size())) {
        fail(key, "is not a list of texts", EXPECTED);
    }
    return texts;
}

bool TomlTable::has(const char *key) const
{
    return m_table.contains(key);
}

std::uint32_t TomlTable::line(const char *key) const
{
    const toml::node *node = m_table.get(key);
    return node ? lineOf(*node) : lineOf(m_table);
}

void TomlTable::fail(const char *key, const std::string &problem, const std::string &expected)
{
    m_problems.add(line(key), pathOf(key), problem, expected);
}

void TomlTable::reportUnknownKeys()
{
    std::string expected = "one of";
    for (const std::string &known : m_knownKeys) {
        expected += ' ' + known;
    }
    for (const auto &[key, node] : m_table) {
        const std::string name(key.str());
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), name) == m_knownKeys.end()) {
            m_problems.add(key.source().begin.line, pathOf(name), "unknown key", expected);
        }
    }
}

const toml::node *TomlTable::take(const char *key)
{
    m_knownKeys.emplace_back(key);
    return m_table.get(key);
}

const toml::node *TomlTable::takeRequired(const char *key, const std::string &expected)
{
    const toml::node *node = take(key);
    if (!node) {
        fail(key, "is missing", expected);
    }
    return node;
}

std::string TomlTable::pathOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + '.' + key;
}

void UniqueNames::add(TomlTable &table, const char *key, const std::string &name)
{
    const auto [entry, isNew] = m_lines.emplace(name, table.line(key));
    if (!isNew) {
        table.fail(key, '"' + name + "\" is also defined in line " + std::to_string(entry->second),
                   "a name that is used only once");
    }
}

std::string UniqueNames::list() const
{
    std::string text = "one of";
    for (const auto &[name, line] : m_lines) {
        text += ' ' + name;
    }
    return text;
}

} // namespace ivyspar
