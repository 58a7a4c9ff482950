#include "standins/lab.h"

#include <cstdio>
#include <string>

#include "bench/configurationbench.h"
#include "bench/controlbench.h"
#include "bench/gatebench.h"
#include "bench/membershipbench.h"
#include "bench/oncebench.h"
#include "bench/overloadbench.h"
#include "bench/transportbench.h"
#include "standins/demo/demo.h"
#include "standins/history/historyrun.h"
#include "standins/log/logstandin.h"
#include "standins/upstream/upstreamcommand.h"

namespace ivyspar::lab {

namespace {

constexpr int EXIT_USAGE = 2;

struct Command
{
    const char *name;
    int (*run)(int argc, char **argv);
    const char *summary;
};

constexpr Command COMMANDS[] = {
    { "upstreams", runUpstreams, "stand-in servers" },
    { "log", runLogStandin, "stand-in of the platform's log" },
    { "gate", runGateBench, "policies of one gate under fake time, compared" },
    { "configuration", runConfigurationBench, "publish until in force at all daemons" },
    { "control", runControlBench, "what idle daemons and what calls cost" },
    { "membership", runMembershipBench, "gossip of up to 790 members under fake time" },
    { "once", runOnceBench, "appends and bytes of claims under fake time" },
    { "transport", runTransportBench, "HTTP and peer links beside a bare socket" },
    { "bench", runOverloadBench, "the overload experiments" },
    { "histories", runHistories, "random faults from seeds, with history checks" },
    { "demo", runDemo, "a whole deployment with a few hundred requests" },
};

void printUsage()
{
    std::puts("usage: ivyspar-lab COMMAND [--option=value …]\n");
    for (const Command &command : COMMANDS) {
        std::printf("  %-16s %s\n", command.name, command.summary);
    }
}

} // namespace

int runLab(int argc, char **argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    for (const Command &command : COMMANDS) {
        if (name == command.name) {
            return command.run(argc - 2, argv + 2);
        }
    }
    printUsage();
    return EXIT_USAGE;
}

} // namespace ivyspar::lab
