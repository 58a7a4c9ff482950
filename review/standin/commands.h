#pragma once

#include <map>
#include <string>

namespace review {

/// Flags of a command, `--name=value`.
class Flags
{
public:
    Flags(int count, char **words);

    std::string text(const std::string &name, const std::string &fallback = {}) const;
    double number(const std::string &name, double fallback) const;

private:
    std::map<std::string, std::string> m_values;
};

/// The platform's store, with the calls that daemons make. `POST /operator` stands for the
/// operator: it appends the body as the record `op/config`.
int runStore(const Flags &flags);
/// One server, which reports to the daemon on its machine.
int runServer(const Flags &flags);
/// Clients that send requests at a steady rate.
int runClients(const Flags &flags);

} // namespace review
