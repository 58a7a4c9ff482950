#include "app/internal/settings/configurationnotes.h"

#include <algorithm>

namespace ivyspar {

namespace {

/// Services whose path is also that of a call to the daemon itself.
struct SharedPath
{
    const char *service;
    const char *effect;
};

constexpr SharedPath SHARED_PATHS[] = {
    { "tickets", "POST /tickets is a request to it, so callers get no tickets" },
    { "announce", "a server that calls /announce makes an announcement instead" },
};

} // namespace

std::vector<std::string> notesOf(const Configuration &configuration)
{
    const auto &rules = configuration.rules.rules;
    const auto &servers = configuration.inventory.servers;
    std::vector<std::string> notes;
    for (const ServiceSpec &service : configuration.inventory.services) {
        const std::string &name = service.name.value();
        const auto isOfService = [&](const auto &entry) { return entry.service == service.name; };
        if (std::none_of(rules.begin(), rules.end(), isOfService)) {
            notes.push_back("no rule for service " + name + ": all its requests are refused");
        }
        if (std::none_of(servers.begin(), servers.end(), isOfService)) {
            notes.push_back("service " + name + " has no server");
        }
        for (const SharedPath &shared : SHARED_PATHS) {
            if (name == shared.service) {
                notes.push_back("service " + name + ": " + shared.effect);
            }
        }
    }
    return notes;
}

} // namespace ivyspar
