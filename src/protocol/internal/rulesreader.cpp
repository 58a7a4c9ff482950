#include "protocol/internal/rulesreader.h"

#include <algorithm>
#include <cctype>

#include "state/durationtext.h"

namespace ivyspar {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr NumberRange PRIORITY{ 0, 100 };
constexpr NumberRange CALLS{ 1, 1'000 };
constexpr NumberRange ATTEMPTS{ 1, 10'000 };
constexpr NumberRange CALLER_ATTEMPTS{ 1, 100 };
constexpr DurationRange WAIT{ milliseconds(1), minutes(10) };
// Long enough for a person to retry; the platform's log must retain its records for longer.
constexpr DurationRange KEY_LIFETIME{ minutes(1), MAX_KEY_LIFETIME };
constexpr std::uint32_t DEFAULT_ATTEMPTS_PER_CALL = 3;
constexpr std::uint32_t DEFAULT_CALLER_ATTEMPTS = 3;
constexpr std::size_t MAX_METHOD_BYTES = 32;
constexpr std::size_t MAX_PATH_BYTES = 1024;
constexpr NumberRange RATE{ 1, 1'000'000 };
constexpr char DIGEST_EXPECTED[] = "32 hexadecimal digits, as `ivyspar key` prints them";

bool isMethod(const std::string &text)
{
    return !text.empty() && text.size() <= MAX_METHOD_BYTES
        && std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return std::isupper(c) != 0; });
}

bool isPathCharacter(unsigned char c)
{
    return std::isgraph(c) != 0 && c != '?' && c != '#';
}

bool isPath(const std::string &text)
{
    return !text.empty() && text.size() <= MAX_PATH_BYTES && text.front() == '/'
        && std::all_of(text.begin(), text.end(), isPathCharacter);
}

std::optional<Repetition> toRepetition(const std::string &text)
{
    if (text == "never") {
        return Repetition::Never;
    }
    if (text == "once") {
        return Repetition::Once;
    }
    if (text == "idempotent") {
        return Repetition::Idempotent;
    }
    return std::nullopt;
}

} // namespace

RulesReader::RulesReader(FileProblems &problems, const UniqueNames *services)
    : m_problems(problems)
    , m_services(services)
{
}

Rules RulesReader::read(const toml::table &document)
{
    Rules rules;
    TomlTable file(document, "", m_problems);
    for (TomlTable &table : file.tables("class")) {
        rules.classes.push_back(readClass(table));
    }
    for (TomlTable &table : file.tables("rule")) {
        rules.rules.push_back(readRule(table, rules.classes));
    }
    readAccounts(file, rules);
    file.reportUnknownKeys();
    return rules;
}

void RulesReader::readAccounts(TomlTable &file, Rules &rules)
{
    std::vector<TomlTable> tables = file.optionalTables("account");
    const auto salt = file.optionalText("key_salt");
    if (tables.empty() && !salt) {
        return;
    }
    const auto read = salt ? digestFromHex(*salt) : std::nullopt;
    if (!read) {
        file.fail("key_salt", "the salt of the accounts' keys is missing", DIGEST_EXPECTED);
    }
    m_salt = read.value_or(KeySalt());
    for (TomlTable &table : tables) {
        rules.accounts.push_back(readAccount(table));
    }
}

AccountSpec RulesReader::readAccount(TomlTable &table)
{
    AccountSpec account;
    if (const auto name = table.name("name")) {
        m_accounts.add(table, "name", *name);
        account.name = AccountName(*name);
    }
    readKeys(table, account);
    if (const auto priority = table.optionalNumber("priority", PRIORITY)) {
        account.priority = Priority(static_cast<std::uint8_t>(*priority));
    }
    account.limit.rate = table.optionalNumber("rate", RATE).value_or(0);
    account.limit.burst = table.optionalNumber("burst", RATE)
                              .value_or(static_cast<std::uint32_t>(account.limit.rate));
    if (!table.has("rate") && table.has("burst")) {
        table.fail("burst", "there is no rate", "a rate too, or no burst");
    }
    table.reportUnknownKeys();
    return account;
}

void RulesReader::readKeys(TomlTable &table, AccountSpec &account)
{
    for (const std::string &hex : table.texts("keys")) {
        const auto digest = digestFromHex(hex);
        if (!digest) {
            table.fail("keys", "contains an entry that is not a digest of a key", DIGEST_EXPECTED);
            return;
        }
        m_keys.add(table, "keys", hex);
        account.keys.push_back(*digest);
    }
}

ClassSpec RulesReader::readClass(TomlTable &table)
{
    ClassSpec spec;
    if (const auto name = table.name("name")) {
        m_classes.add(table, "name", *name);
        spec.name = ClassName(*name);
    }
    if (const auto priority = table.number("priority", PRIORITY)) {
        const auto [entry, isNew] = m_linesOfPriorities.emplace(*priority, table.line("priority"));
        if (!isNew) {
            table.fail("priority",
                       std::to_string(*priority) + " is also the priority in line "
                           + std::to_string(entry->second),
                       "a priority that no other class has");
        }
        spec.priority = Priority(static_cast<std::uint8_t>(*priority));
    }
    table.reportUnknownKeys();
    return spec;
}

RuleSpec RulesReader::readRule(TomlTable &table, const std::vector<ClassSpec> &classes)
{
    RuleSpec rule;
    if (const auto name = table.name("name")) {
        m_names.add(table, "name", *name);
        rule.name = RuleName(*name);
    }
    readMatch(table, rule);
    readClassReference(table, classes, rule);
    rule.wait = table.duration("wait", WAIT).value_or(Duration::zero());
    readObjective(table, rule);
    readBudget(table, rule);
    readRepetition(table, rule);
    readKeyLifetime(table, rule);
    rule.isAnonymous = table.flag("anonymous", false);
    table.reportUnknownKeys();
    return rule;
}

void RulesReader::readMatch(TomlTable &table, RuleSpec &rule)
{
    const auto service = table.name("service");
    rule.service = ServiceName(service.value_or(""));
    if (service && m_services && !m_services->isKnown(*service)) {
        table.fail("service", '"' + *service + "\" is not a service of the inventory",
                   m_services->list());
    }
    rule.method = table.optionalText("method").value_or("");
    if (!rule.method.empty() && !isMethod(rule.method)) {
        table.fail("method", '"' + rule.method + "\" is not an HTTP method",
                   "capital letters such as \"GET\", or no method for all of them");
    }
    rule.path = table.optionalText("path").value_or("");
    if (!rule.path.empty() && !isPath(rule.path)) {
        table.fail("path", "is not the beginning of a path",
                   "a text that starts with / and has no space, ? or #");
    }
    if (service) {
        checkOverlap(table, rule);
    }
}

void RulesReader::checkOverlap(TomlTable &table, const RuleSpec &rule)
{
    const std::string match = rule.service.value() + ' ' + rule.method + ' ' + rule.path;
    const auto [entry, isNew] = m_linesOfMatches.emplace(match, table.line("name"));
    if (!isNew) {
        table.fail("path",
                   "the rule in line " + std::to_string(entry->second)
                       + " is for the same service, method and path",
                   "one rule for each of them");
    }
}

void RulesReader::readClassReference(TomlTable &table, const std::vector<ClassSpec> &classes,
                                     RuleSpec &rule)
{
    const auto name = table.name("class");
    if (!name) {
        return;
    }
    if (!m_classes.isKnown(*name)) {
        table.fail("class", '"' + *name + "\" is not defined by a [[class]]", m_classes.list());
        return;
    }
    rule.requestClass = ClassName(*name);
    const auto found = std::find_if(classes.begin(), classes.end(), [&](const ClassSpec &spec) {
        return spec.name == rule.requestClass;
    });
    if (found != classes.end()) {
        rule.priority = found->priority;
    }
}

void RulesReader::readObjective(TomlTable &table, RuleSpec &rule)
{
    const auto objective = table.optionalDuration("objective", WAIT);
    rule.targetLatency = objective.value_or(Duration::zero());
    const bool hasWait = rule.wait > Duration::zero();
    if (objective && hasWait && *objective > rule.wait) {
        table.fail("objective", "is longer than the wait of " + toText(rule.wait),
                   "at most the wait");
    }
}

void RulesReader::readBudget(TomlTable &table, RuleSpec &rule)
{
    const auto calls = table.optionalNumber("calls", CALLS);
    rule.calls = calls.value_or(1);
    const auto attempts = table.optionalNumber("attempts", ATTEMPTS);
    rule.attempts = AttemptCount(attempts.value_or(DEFAULT_ATTEMPTS_PER_CALL * rule.calls));
    // With fewer attempts not even a request without failures could complete.
    if (attempts && *attempts < rule.calls) {
        table.fail("attempts",
                   std::to_string(*attempts) + " attempts are not enough for "
                       + std::to_string(rule.calls) + " calls",
                   "at least one attempt for each call");
    }
    rule.callerAttempts =
        table.optionalNumber("caller_attempts", CALLER_ATTEMPTS).value_or(DEFAULT_CALLER_ATTEMPTS);
}

void RulesReader::readRepetition(TomlTable &table, RuleSpec &rule)
{
    if (const auto text = table.optionalText("repeat")) {
        const auto repetition = toRepetition(*text);
        if (!repetition) {
            table.fail("repeat", '"' + *text + "\" is unknown", "never, once or idempotent");
        }
        rule.repetition = repetition.value_or(Repetition::Never);
    }
    rule.hedge = table.flag("hedge", false);
    if (rule.hedge && rule.repetition != Repetition::Idempotent) {
        table.fail("hedge", "a hedge runs the request twice",
                   "repeat = \"idempotent\", or no hedge");
    }
}

void RulesReader::readKeyLifetime(TomlTable &table, RuleSpec &rule)
{
    const auto lifetime = table.optionalDuration("key_lifetime", KEY_LIFETIME);
    rule.keyLifetime = lifetime.value_or(Duration::zero());
    const bool isOnce = rule.repetition == Repetition::Once;
    if (isOnce && !table.has("key_lifetime")) {
        table.fail("key_lifetime", "is missing for repeat = \"once\"",
                   "how long a key is remembered, such as \"1h\"");
    }
    if (!isOnce && table.has("key_lifetime")) {
        table.fail("key_lifetime", "no key is remembered for this rule",
                   "repeat = \"once\", or no key_lifetime");
    }
    // If a key were forgotten while its request still runs, a second one could start.
    if (lifetime && *lifetime < rule.wait) {
        table.fail("key_lifetime", "is shorter than the wait of " + toText(rule.wait),
                   "at least the wait");
    }
}

} // namespace ivyspar
