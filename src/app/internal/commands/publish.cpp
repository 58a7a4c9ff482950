#include "app/publish.h"

#include <cstdio>

#include "app/internal/commands/linediff.h"
#include "app/internal/control/configurationpublisher.h"
#include "transport/logservicefactory.h"
#include "transport/transportfactory.h"

namespace ivyspar {

namespace {

constexpr int EXIT_ACCEPTED = 0;
constexpr int EXIT_CONFLICT = 3;
constexpr int EXIT_UNKNOWN = 4;
constexpr std::size_t MAX_DIFF_LINES = 200;

PublishResult publish(const PublishSettings &settings)
{
    const std::unique_ptr<IEventLoop> loop = makeEventLoop();
    PublishResult result;
    {
        HttpClientLimits limits;
        limits.bodyBytes = MAX_LOG_RESPONSE_BYTES;
        const std::unique_ptr<IHttpClient> client = makeHttpClient(*loop, limits);
        LogServiceSettings logSettings;
        logSettings.endpoints = settings.logEndpoints;
        logSettings.clientName = "publish";
        const std::unique_ptr<ILogService> log = makeHttpLogService(logSettings, *client);
        loop->spawn([&] {
            result = ConfigurationPublisher(settings, *loop, *log).publish();
            loop->stop();
        });
        loop->run();
    }
    return result;
}

void printDiff(const std::string &file, const std::string &before, const std::string &after)
{
    for (const std::string &line : lineDiff(before, after, MAX_DIFF_LINES)) {
        std::fprintf(stderr, "%s: %s\n", file.c_str(), line.c_str());
    }
}

int reportConflict(const PublishSettings &settings, const PublishResult &result)
{
    const AcceptedConfiguration &winner = result.winner;
    std::fprintf(stderr, "not accepted: version %llu (change %s) was published first",
                 static_cast<unsigned long long>(winner.version.value()), winner.changeId.c_str());
    if (result.base) {
        std::fprintf(stderr, "; this change is based on version %llu",
                     static_cast<unsigned long long>(result.base->value()));
    }
    std::fputs("\ndifferences between that version (-) and your files (+):\n", stderr);
    printDiff(settings.inventoryFile, winner.inventory, settings.text.inventory);
    printDiff(settings.rulesFile, winner.rules, settings.text.rules);
    return EXIT_CONFLICT;
}

int reportUnknown(const PublishSettings &settings, const PublishResult &result)
{
    std::fprintf(stderr, "unknown: %s; run again with --change_id=%s", result.text.c_str(),
                 settings.changeId.c_str());
    if (result.base && !settings.isRestart) {
        std::fprintf(stderr, " --base=%llu", static_cast<unsigned long long>(result.base->value()));
    }
    std::fputs("\n", stderr);
    return EXIT_UNKNOWN;
}

} // namespace

int runPublish(const PublishSettings &settings)
{
    const PublishResult result = publish(settings);
    switch (result.kind) {
    case PublishResult::Kind::Accepted:
        std::printf("accepted: version %llu (change %s)\n",
                    static_cast<unsigned long long>(result.version.value()),
                    settings.changeId.c_str());
        return EXIT_ACCEPTED;
    case PublishResult::Kind::Conflict:
        return reportConflict(settings, result);
    case PublishResult::Kind::NotSent:
        std::fprintf(stderr, "nothing was published: %s\n", result.text.c_str());
        return EXIT_UNKNOWN;
    case PublishResult::Kind::Unknown:
        break;
    }
    return reportUnknown(settings, result);
}

} // namespace ivyspar
