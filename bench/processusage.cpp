#include "bench/processusage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace ivyspar::lab {

namespace {

Duration readProcessor(const std::string &folder)
{
    std::ifstream file(folder + "/stat");
    std::string text;
    std::getline(file, text);
    // The name in parentheses may hold spaces; utime and stime are the 12th and 13th fields after
    // it.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    constexpr int FIELDS_BEFORE = 11;
    for (int i = 0; i < FIELDS_BEFORE; ++i) {
        fields >> skipped;
    }
    long long user = 0;
    long long system = 0;
    fields >> user >> system;
    constexpr long long MICROS = 1000000;
    return Duration((user + system) * MICROS / sysconf(_SC_CLK_TCK));
}

double readKb(const std::string &folder, const std::string &key)
{
    std::ifstream file(folder + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind(key, 0) == 0) {
            return std::stod(line.substr(key.size()));
        }
    }
    return 0;
}

} // namespace

ProcessUsage readUsage(pid_t pid)
{
    const std::string folder = "/proc/" + std::to_string(pid);
    ProcessUsage usage;
    usage.processor = readProcessor(folder);
    usage.residentKb = readKb(folder, "VmRSS:");
    usage.anonymousKb = readKb(folder, "RssAnon:");
    return usage;
}

} // namespace ivyspar::lab
