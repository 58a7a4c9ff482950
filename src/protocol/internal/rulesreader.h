#pragma once

#include "protocol/internal/tomltable.h"
#include "state/configuration.h"

namespace ivyspar {

/// Reads rules from their TOML document.
class RulesReader
{
public:
    /// `services` is null if the inventory could not be read; services are not checked then.
    RulesReader(FileProblems &problems, const UniqueNames *services);

    Rules read(const toml::table &document);
    /// The salt with which the keys of the rules' accounts were hashed.
    const KeySalt &salt() const { return m_salt; }

private:
    ClassSpec readClass(TomlTable &table);
    RuleSpec readRule(TomlTable &table, const std::vector<ClassSpec> &classes);
    void readMatch(TomlTable &table, RuleSpec &rule);
    void readClassReference(TomlTable &table, const std::vector<ClassSpec> &classes,
                            RuleSpec &rule);
    void readObjective(TomlTable &table, RuleSpec &rule);
    void readBudget(TomlTable &table, RuleSpec &rule);
    void readRepetition(TomlTable &table, RuleSpec &rule);
    void readKeyLifetime(TomlTable &table, RuleSpec &rule);
    void readAccounts(TomlTable &file, Rules &rules);
    AccountSpec readAccount(TomlTable &table);
    void readKeys(TomlTable &table, AccountSpec &account);
    void checkOverlap(TomlTable &table, const RuleSpec &rule);

    FileProblems &m_problems;
    const UniqueNames *m_services;
    UniqueNames m_classes;
    UniqueNames m_names;
    UniqueNames m_accounts;
    /// Digests of keys, each of which belongs to one account.
    UniqueNames m_keys;
    KeySalt m_salt{};
    std::map<std::uint32_t, std::uint32_t> m_linesOfPriorities;
    std::map<std::string, std::uint32_t> m_linesOfMatches;
};

} // namespace ivyspar
