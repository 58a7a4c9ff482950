#include "coordination/quarantine/suspect.h"

#include <algorithm>
#include <string>

#include <xxhash.h>

namespace ivyspar {

namespace {

std::string textOf(const ServerKind &kind)
{
    return kind.service.value() + '/' + kind.version.value();
}

} // namespace

bool hasCompleted(const SuspectRecord &record, const ServerKind &kind)
{
    return std::binary_search(record.completed.begin(), record.completed.end(), kind);
}

bool isCleared(const SuspectRecord &record)
{
    return std::all_of(record.crashes.begin(), record.crashes.end(),
                       [&](const Crash &crash) { return hasCompleted(record, crash.kind); });
}

std::uint64_t digestOf(const SuspectRecord &record)
{
    std::string text = record.fingerprint.value() + '\n' + std::to_string(record.epoch);
    for (const Crash &crash : record.crashes) {
        text += '\n' + crash.run.value() + (crash.wasIsolated ? '+' : '-')
            + (crash.isTrial ? '+' : '-') + textOf(crash.kind);
    }
    for (const ServerKind &kind : record.completed) {
        text += '\r' + textOf(kind);
    }
    for (const ServerKind &kind : record.untried) {
        text += '\t' + textOf(kind);
    }
    return XXH3_64bits(text.data(), text.size());
}

const char *toText(Suspicion suspicion)
{
    switch (suspicion) {
    case Suspicion::None:
        return "cleared";
    case Suspicion::Suspect:
        return "suspect";
    case Suspicion::Held:
        return "held";
    case Suspicion::Quarantined:
        return "quarantined";
    }
    return "";
}

} // namespace ivyspar
