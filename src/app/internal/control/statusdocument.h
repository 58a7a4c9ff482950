#pragma once

#include <string>

#include "app/internal/control/iconfigurationdriver.h"
#include "app/internal/trafficnode.h"
#include "coordination/membership/imembership.h"
#include "state/configuration.h"

namespace ivyspar {

/// Data of `/status`.
struct DaemonStatus
{
    Member self;
    bool isLeaving = false;
    ConfigurationPtr configuration;
    ConfigurationStatus configurationStatus;
    std::vector<MemberStatus> members;
    TrafficStatus traffic;
};

/// Returns the JSON text of `/status`, which docs/INTERFACES.md describes.
std::string makeStatusDocument(const DaemonStatus &status);

} // namespace ivyspar
