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

/// A configuration change to publish.
struct PublishSettings
{
    std::string inventoryFile;
    std::string rulesFile;
    /// Content of the files, already validated.
    ConfigurationText text;
    /// What the operator should know about the configuration, a line each.
    std::vector<std::string> notes;
    /// The version that the change is based on; empty for the current one.
    std::optional<ConfigurationVersion> base;
    std::vector<Endpoint> logEndpoints;
    /// Longest time to wait for the verdict.
    Duration timeout{ 0 };
    /// Identifies this change, so that it can be found again if the response to its append was
    /// lost. Never empty.
    std::string changeId;
    /// The id was set by the operator, so the change may already be in the log.
    bool isRepeat = false;
    /// Starts over in a stream that no longer retains enough records to validate a change.
    bool isRestart = false;
};

/// Reads flags, environment variables and the two files. Opens no connection.
SettingsResult<PublishSettings> readPublishSettings(const std::vector<std::string> &arguments,
                                                    const EnvironmentLookup &environment);

/// Appends the change to the platform's log and waits for its verdict. Returns the exit code: 0
/// if it was accepted, 3 if another change came first, and 4 if the log cannot be reached or the
/// verdict was not known in time.
int runPublish(const PublishSettings &settings);

} // namespace ivyspar
