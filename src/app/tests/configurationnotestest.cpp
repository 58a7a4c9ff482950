#include "app/internal/settings/configurationnotes.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

TEST_GROUP(ConfigurationNotes)
{
    Configuration m_configuration;

    void addService(const std::string &name)
    {
        ServiceSpec service;
        service.name = ServiceName(name);
        m_configuration.inventory.services.push_back(service);
        ServerSpec server;
        server.service = service.name;
        m_configuration.inventory.servers.push_back(server);
        RuleSpec rule;
        rule.service = service.name;
        m_configuration.rules.rules.push_back(rule);
    }
    bool hasNote(const std::string &text) const
    {
        const auto notes = notesOf(m_configuration);
        return std::any_of(notes.begin(), notes.end(), [&](const std::string &note) {
            return note.find(text) != std::string::npos;
        });
    }
};

TEST(ConfigurationNotes, CompleteServiceHasNone)
{
    addService("cassa");
    CHECK(notesOf(m_configuration).empty());
}

TEST(ConfigurationNotes, ServiceWithoutRuleOrServerIsNoted)
{
    m_configuration.inventory.services.emplace_back();
    CHECK(hasNote("no rule for service"));
    CHECK(hasNote("has no server"));
}

// Guards against a service that silently shares its path with a call to the daemon itself.
TEST(ConfigurationNotes, ServiceThatSharesAPathWithTheDaemonIsNoted)
{
    addService("tickets");
    addService("announce");
    CHECK(hasNote("POST /tickets is a request to it"));
    CHECK(hasNote("calls /announce makes an announcement"));
}
