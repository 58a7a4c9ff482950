#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "state/endpoint.h"

namespace ivyspar::lab {

/// `--name=value` and `--name value` options of a lab program; an option may be given repeatedly.
/// These programs are run by tests, so wrong usage simply ends them with a message.
class Options
{
public:
    Options(int argc, char **argv);

    bool has(const std::string &name) const;
    std::string text(const std::string &name, const std::string &fallback) const;
    std::vector<std::string> texts(const std::string &name) const;
    double number(const std::string &name, double fallback) const;
    Endpoint endpoint(const std::string &name, const std::string &fallback) const;

private:
    std::multimap<std::string, std::string> m_values;
};

} // namespace ivyspar::lab
