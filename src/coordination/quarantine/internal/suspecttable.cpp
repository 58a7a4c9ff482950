#include "coordination/quarantine/internal/suspecttable.h"

#include <algorithm>
#include <tuple>

namespace ivyspar {

namespace {

using Kinds = std::vector<ServerKind>;

/// Keeps the kinds sorted. False if the kind is present already.
bool addKind(Kinds &kinds, const ServerKind &kind)
{
    const auto place = std::lower_bound(kinds.begin(), kinds.end(), kind);
    if (place != kinds.end() && *place == kind) {
        return false;
    }
    kinds.insert(place, kind);
    return true;
}

bool addKinds(Kinds &kinds, const Kinds &others)
{
    bool isNew = false;
    for (const ServerKind &kind : others) {
        isNew = addKind(kinds, kind) || isNew;
    }
    return isNew;
}

/// Counts the crashes of servers of one kind as evidence against the request. Crashes at which it
/// was not isolated count as one.
std::size_t countCrashes(const SuspectRecord &record, const ServerKind &kind)
{
    std::size_t isolated = 0;
    bool hasUnisolated = false;
    for (const Crash &crash : record.crashes) {
        if (crash.kind == kind) {
            isolated += crash.wasIsolated ? 1 : 0;
            hasUnisolated = hasUnisolated || !crash.wasIsolated;
        }
    }
    return isolated + (hasUnisolated ? 1 : 0);
}

/// The highest count of crashes over the other kinds of servers.
std::size_t countCrashesElsewhere(const SuspectRecord &record, const ServerKind &kind)
{
    std::size_t most = 0;
    for (const Crash &crash : record.crashes) {
        if (crash.kind != kind) {
            most = std::max(most, countCrashes(record, crash.kind));
        }
    }
    return most;
}

bool hasCrashedService(const SuspectRecord &record, const ServiceName &service)
{
    return std::any_of(record.crashes.begin(), record.crashes.end(),
                       [&](const Crash &crash) { return crash.kind.service == service; });
}

/// Orders crashes by what they prove, and then by run: the last one is dropped first. All daemons
/// drop the same crashes; otherwise their digests would never match.
bool isKeptBefore(const Crash &a, const Crash &b)
{
    return std::make_tuple(!a.isTrial, !a.wasIsolated, a.run)
        < std::make_tuple(!b.isTrial, !b.wasIsolated, b.run);
}

std::size_t countTrials(const SuspectRecord &record)
{
    return static_cast<std::size_t>(
        std::count_if(record.crashes.begin(), record.crashes.end(),
                      [](const Crash &crash) { return crash.isTrial; }));
}

} // namespace

std::unique_ptr<ISuspectTable> makeSuspectTable(const SuspectTableOptions &options)
{
    return std::make_unique<SuspectTable>(options);
}

SuspectTable::SuspectTable(const SuspectTableOptions &options)
    : m_options(options)
{
}

Assessment SuspectTable::assess(TimePoint now, const Fingerprint &fingerprint,
                                const ServerKind &kind) const
{
    const auto found = m_records.find(fingerprint);
    return found == m_records.end() ? Assessment() : assessRecord(now, found->second, kind);
}

Assessment SuspectTable::assess(TimePoint now, const Fingerprint &fingerprint) const
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || found->second.crashes.empty()) {
        return {};
    }
    const SuspectRecord &record = found->second;
    Assessment least = assessRecord(now, record, record.crashes.front().kind);
    const auto consider = [&](const ServerKind &kind) {
        const Assessment each = assessRecord(now, record, kind);
        least = each.suspicion < least.suspicion ? each : least;
    };
    for (const Crash &crash : record.crashes) {
        consider(crash.kind);
    }
    std::for_each(record.completed.begin(), record.completed.end(), consider);
    std::for_each(record.untried.begin(), record.untried.end(), consider);
    return least;
}

Assessment SuspectTable::assessRecord(TimePoint now, const SuspectRecord &record,
                                      const ServerKind &kind) const
{
    Assessment assessment;
    if (record.crashes.empty() || hasCompleted(record, kind)) {
        return assessment;
    }
    const std::size_t here = countCrashes(record, kind);
    const std::size_t elsewhere = countCrashesElsewhere(record, kind);
    assessment.crashes = here + elsewhere;
    const bool isQuarantinedElsewhere = elsewhere >= m_options.crashThreshold;
    const bool isQuarantinedHere =
        here >= m_options.crashThreshold || (isQuarantinedElsewhere && here > 0);
    const Duration since = std::chrono::duration_cast<Duration>(now - record.changedAt);
    if (isQuarantinedHere || isQuarantinedElsewhere) {
        const bool isDue = !isQuarantinedHere || since >= m_options.trialInterval;
        if (!isDue || countTrials(record) >= m_options.maxTrials) {
            assessment.suspicion = Suspicion::Quarantined;
            return assessment;
        }
        assessment.isTrial = true;
    }
    assessment.suspicion = Suspicion::Suspect;
    // Each crash costs all other requests a server; wait until it is back before risking another.
    if (assessment.crashes > 1 && since < m_options.recoveryTime) {
        assessment.suspicion = Suspicion::Held;
        assessment.retryAfter = m_options.recoveryTime - since;
    }
    return assessment;
}

bool SuspectTable::addCrash(TimePoint now, const Fingerprint &fingerprint, const Crash &crash)
{
    SuspectRecord record;
    record.fingerprint = fingerprint;
    const auto found = m_records.find(fingerprint);
    record.epoch = found == m_records.end() ? 0 : found->second.epoch;
    record.crashes = { crash };
    record.changedAt = crash.at;
    return merge(now, record);
}

bool SuspectTable::addCompletion(const Fingerprint &fingerprint, const ServerKind &kind)
{
    const auto found = m_records.find(fingerprint);
    return found != m_records.end() && addKind(found->second.completed, kind);
}

bool SuspectTable::addUntried(const Fingerprint &fingerprint, const ServerKind &kind)
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || !reachesCrashThreshold(found->second)
        || !hasCrashedService(found->second, kind.service)
        || countCrashes(found->second, kind) > 0) {
        return false;
    }
    return addKind(found->second.untried, kind);
}

bool SuspectTable::merge(TimePoint now, const SuspectRecord &record)
{
    const auto found = m_records.find(record.fingerprint);
    if (found != m_records.end()) {
        return mergeInto(record, found->second);
    }
    if (isExpired(now, record) || !evictOldest()) {
        return false;
    }
    SuspectRecord added;
    added.fingerprint = record.fingerprint;
    added.epoch = record.epoch;
    added.changedAt = record.changedAt;
    mergeInto(record, added);
    m_records.emplace(record.fingerprint, std::move(added));
    return true;
}

bool SuspectTable::mergeInto(const SuspectRecord &from, SuspectRecord &into) const
{
    if (from.epoch < into.epoch) {
        return false;
    }
    bool isNew = false;
    if (from.epoch > into.epoch) {
        isNew = true;
        into.epoch = from.epoch;
        into.crashes.clear();
        into.completed.clear();
        into.untried.clear();
        into.changedAt = from.changedAt;
    }
    for (const Crash &crash : from.crashes) {
        isNew = insertCrash(crash, into) || isNew;
    }
    isNew = addKinds(into.completed, from.completed) || isNew;
    isNew = addKinds(into.untried, from.untried) || isNew;
    return isNew;
}

bool SuspectTable::insertCrash(const Crash &crash, SuspectRecord &into) const
{
    auto &crashes = into.crashes;
    const auto place =
        std::lower_bound(crashes.begin(), crashes.end(), crash,
                         [](const Crash &a, const Crash &b) { return a.run < b.run; });
    if (place != crashes.end() && place->run == crash.run) {
        const bool isNew =
            (crash.isTrial && !place->isTrial) || (crash.wasIsolated && !place->wasIsolated);
        place->isTrial = place->isTrial || crash.isTrial;
        place->wasIsolated = place->wasIsolated || crash.wasIsolated;
        return isNew;
    }
    crashes.insert(place, crash);
    if (crashes.size() > m_options.maxCrashesPerRecord) {
        const auto dropped = std::max_element(crashes.begin(), crashes.end(), isKeptBefore);
        const bool isDroppedAtOnce = dropped->run == crash.run;
        crashes.erase(dropped);
        if (isDroppedAtOnce) {
            return false;
        }
    }
    into.changedAt = std::max(into.changedAt, crash.at);
    return true;
}

bool SuspectTable::lift(TimePoint now, const Fingerprint &fingerprint)
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end()) {
        return false;
    }
    SuspectRecord lifted;
    lifted.fingerprint = fingerprint;
    lifted.epoch = found->second.epoch + 1;
    lifted.changedAt = now;
    return mergeInto(lifted, found->second);
}

void SuspectTable::expire(TimePoint now)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        it = isExpired(now, it->second) ? m_records.erase(it) : std::next(it);
    }
}

bool SuspectTable::isExpired(TimePoint now, const SuspectRecord &record) const
{
    const Duration retention = isCleared(record) ? m_options.clearedRetention
        : reachesCrashThreshold(record)          ? m_options.quarantineRetention
                                                 : m_options.suspectRetention;
    return now - record.changedAt >= retention;
}

bool SuspectTable::reachesCrashThreshold(const SuspectRecord &record) const
{
    return std::any_of(record.crashes.begin(), record.crashes.end(), [&](const Crash &crash) {
        return !hasCompleted(record, crash.kind)
            && countCrashes(record, crash.kind) >= m_options.crashThreshold;
    });
}

/// Evicts the oldest record that is not quarantined: a flood of suspects must not release a request
/// from quarantine.
bool SuspectTable::evictOldest()
{
    if (m_records.size() < m_options.maxRecords) {
        return true;
    }
    auto oldest = m_records.end();
    for (auto it = m_records.begin(); it != m_records.end(); ++it) {
        const bool isOlder =
            oldest == m_records.end() || it->second.changedAt < oldest->second.changedAt;
        if (isOlder && !reachesCrashThreshold(it->second)) {
            oldest = it;
        }
    }
    if (oldest == m_records.end()) {
        return false;
    }
    m_records.erase(oldest);
    return true;
}

std::optional<SuspectRecord> SuspectTable::find(const Fingerprint &fingerprint) const
{
    const auto found = m_records.find(fingerprint);
    return found == m_records.end() ? std::nullopt : std::optional(found->second);
}

std::vector<SuspectRecord> SuspectTable::records() const
{
    std::vector<SuspectRecord> records;
    records.reserve(m_records.size());
    for (const auto &[key, record] : m_records) {
        records.push_back(record);
    }
    return records;
}

std::uint64_t SuspectTable::digest() const
{
    std::uint64_t digest = 0;
    for (const auto &[key, record] : m_records) {
        digest ^= digestOf(record);
    }
    return digest;
}

} // namespace ivyspar
