#include "app/internal/settings/publishsettings.h"

#include <charconv>
#include <cstdio>
#include <random>

#include "app/internal/settings/configurationfiles.h"
#include "app/internal/settings/configurationnotes.h"
#include "app/internal/settings/flags.h"
#include "app/internal/settings/settingvalues.h"
#include "app/publish.h"

namespace ivyspar {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

const char CURRENT[] = "current";

std::string newChangeId()
{
    std::random_device device;
    char text[2 * sizeof(std::uint64_t) + 1];
    std::snprintf(text, sizeof text, "%08x%08x", device(), device());
    return text;
}

std::optional<ConfigurationVersion> readBase(SettingValues &values)
{
    const std::string &text = FLAGS_base;
    if (text == CURRENT) {
        return std::nullopt;
    }
    std::uint64_t version = 0;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, version);
    if (error != std::errc() || end != last) {
        values.addError("base",
                        '"' + text + "\" is neither \"current\" nor the number of a version");
    }
    return ConfigurationVersion(version);
}

void readFiles(const std::vector<std::string> &operands, SettingsResult<PublishSettings> &result)
{
    if (operands.size() != 2) {
        result.errors.emplace_back("expected two files: INVENTORY RULES");
        return;
    }
    PublishSettings &settings = result.settings;
    settings.inventoryFile = operands[0];
    settings.rulesFile = operands[1];
    ConfigurationFiles files = loadConfiguration(settings.inventoryFile, settings.rulesFile);
    settings.text = std::move(files.text);
    if (files.configuration) {
        settings.notes = notesOf(*files.configuration);
    }
    result.errors.insert(result.errors.end(), files.errors.begin(), files.errors.end());
}

} // namespace

const FlagSet &publishFlags()
{
    static const FlagSet FLAGS({ "log_endpoints", "base", "timeout", "change_id", "restart" });
    return FLAGS;
}

SettingsResult<PublishSettings> readPublishSettings(const std::vector<std::string> &arguments,
                                                    const EnvironmentLookup &environment)
{
    SettingsResult<PublishSettings> result;
    const ParsedFlags parsed = publishFlags().parse(arguments, environment);
    result.errors = parsed.errors;
    result.isHelpWanted = parsed.isHelpWanted;
    if (result.isHelpWanted) {
        return result;
    }
    SettingValues values(result.errors);
    PublishSettings &settings = result.settings;
    settings.logEndpoints = values.remoteEndpoints("log_endpoints", FLAGS_log_endpoints);
    if (FLAGS_log_endpoints.empty()) {
        values.addError("log_endpoints", "must be set");
    }
    settings.base = readBase(values);
    settings.timeout = values.duration("timeout", FLAGS_timeout, milliseconds(100), minutes(10));
    settings.changeId =
        FLAGS_change_id.empty() ? newChangeId() : values.name("change_id", FLAGS_change_id);
    settings.isRepeat = !FLAGS_change_id.empty();
    settings.isRestart = FLAGS_restart;
    readFiles(parsed.operands, result);
    return result;
}

} // namespace ivyspar
