#pragma once

#include "protocol/internal/tomltable.h"
#include "state/configuration.h"

namespace ivyspar {

/// Reads an inventory from its TOML document. Also collects the names that it defines, including
/// those of entries with problems.
class InventoryReader
{
public:
    explicit InventoryReader(FileProblems &problems);

    Inventory read(const toml::table &document);
    const UniqueNames &services() const { return m_services; }

private:
    DomainSpec readDomain(TomlTable &table);
    ServiceSpec readService(TomlTable &table);
    ServerSpec readServer(TomlTable &table);
    void checkReference(TomlTable &table, const char *key, const std::string &name,
                        const UniqueNames &known);

    FileProblems &m_problems;
    UniqueNames m_domains;
    UniqueNames m_services;
    UniqueNames m_servers;
};

} // namespace ivyspar
