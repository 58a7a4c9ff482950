#pragma once

#include <string>

#include "app/internal/control/iconfigurationdriver.h"
#include "app/internal/trafficnode.h"
#include "coordination/membership/imembership.h"
#include "state/configuration.h"

namespace ivyspar {

/// What `/status` tells of a daemon.
struct DaemonStatus
{
    Member self;
    bool isLeaving = false;
    ConfigurationPtr configuration;
    ConfigurationStatus configurationStatus;
    std::vector<MemberStatus> members;
    TrafficStatus traffic;
};

/// The JSON text of `/status`; docs/INTERFACES.md describes it.
std::string makeStatusDocument(const DaemonStatus &status);

} // namespace ivyspar
