#include "protocol/internal/inventoryreader.h"

namespace ivyspar {

namespace {

constexpr NumberRange SLOTS{ 1, 100'000 };
constexpr NumberRange CONNECTIONS{ 1, 1'000'000 };

} // namespace

InventoryReader::InventoryReader(FileProblems &problems)
    : m_problems(problems)
{
}

Inventory InventoryReader::read(const toml::table &document)
{
    Inventory inventory;
    TomlTable file(document, "", m_problems);
    inventory.deployment = file.name("deployment").value_or("");
    for (TomlTable &table : file.tables("domain")) {
        inventory.domains.push_back(readDomain(table));
    }
    for (TomlTable &table : file.tables("service")) {
        inventory.services.push_back(readService(table));
    }
    for (TomlTable &table : file.tables("server")) {
        inventory.servers.push_back(readServer(table));
    }
    file.reportUnknownKeys();
    return inventory;
}

DomainSpec InventoryReader::readDomain(TomlTable &table)
{
    DomainSpec domain;
    if (const auto name = table.name("name")) {
        m_domains.add(table, "name", *name);
        domain.name = DomainName(*name);
    }
    domain.region = RegionName(table.name("region").value_or(""));
    table.reportUnknownKeys();
    return domain;
}

ServiceSpec InventoryReader::readService(TomlTable &table)
{
    ServiceSpec service;
    if (const auto name = table.name("name")) {
        m_services.add(table, "name", *name);
        service.name = ServiceName(*name);
    }
    const auto slots = table.number("slots", SLOTS);
    const auto connections = table.number("connections", CONNECTIONS);
    // Each request in progress needs its own connection, so further slots would never be used.
    if (slots && connections && *connections < *slots) {
        table.fail("connections",
                   std::to_string(*connections) + " connections cannot fill "
                       + std::to_string(*slots) + " slots",
                   "at least as many connections as slots");
    }
    service.slots = slots.value_or(0);
    service.connections = connections.value_or(0);
    table.reportUnknownKeys();
    return service;
}

ServerSpec InventoryReader::readServer(TomlTable &table)
{
    ServerSpec server;
    if (const auto name = table.name("name")) {
        m_servers.add(table, "name", *name);
        server.name = *name;
    }
    if (const auto service = table.name("service")) {
        checkReference(table, "service", *service, m_services);
        server.service = ServiceName(*service);
    }
    if (const auto domain = table.name("domain")) {
        checkReference(table, "domain", *domain, m_domains);
        server.domain = DomainName(*domain);
    }
    table.reportUnknownKeys();
    return server;
}

void InventoryReader::checkReference(TomlTable &table, const char *key, const std::string &name,
                                     const UniqueNames &known)
{
    if (!known.isKnown(name)) {
        table.fail(key, '"' + name + "\" is not defined", known.list());
    }
}

} // namespace ivyspar
