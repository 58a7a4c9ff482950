#pragma once

#include <optional>
#include <string>
#include <vector>

#include "app/settings.h"
#include "protocol/iconfigurationreader.h"
#include "state/endpoint.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// A change of the configuration that is to be published.
struct PublishSettings
{
    std::string inventoryFile;
    std::string rulesFile;
    /// Content of the files, already found to be right.
    ConfigurationText text;
    /// The version that the change is based on; none for the one that is current now.
    std::optional<ConfigurationVersion> base;
    std::vector<Endpoint> logEndpoints;
    /// Longest time to wait for the verdict.
    Duration timeout{ 0 };
    /// Identifies this change, to find it again when the answer to its append was lost. Never
    /// empty.
    std::string changeId;
    /// The id was set by the operator: the change may be in the log already.
    bool isRepeat = false;
    /// Begins anew in a stream of which too much was forgotten to judge a change.
    bool isRestart = false;
};

/// Reads flags, variables and the two files. Opens no connection.
SettingsResult<PublishSettings> readPublishSettings(const std::vector<std::string> &arguments,
                                                    const EnvironmentLookup &environment);

/// Appends the change to the platform's log and waits for its verdict. Returns the exit code: 0
/// when it was accepted, 3 when another change came first, and 4 when the log cannot be reached or
/// the verdict could not be found out in time.
int runPublish(const PublishSettings &settings);

} // namespace ivyspar
