#include "standins/history/faultschedule.h"

#include <algorithm>

#include "state/internal/seededrandom.h"

namespace ivyspar::lab {

namespace {

constexpr std::size_t FEWEST_FAULTS = 3;
constexpr std::size_t MORE_FAULTS = 4;
constexpr std::uint64_t KINDS = 16;
/// The schedule has a single fault of the kinds from here on, beside the others.
constexpr std::uint64_t FIRST_NOTICE_KIND = 13;
constexpr std::uint64_t NOTICE_SEED_OFFSET = 1000003;
constexpr std::uint64_t LATEST_BEGIN_MS = 1200;
constexpr std::uint64_t SHORTEST_MS = 100;
constexpr std::uint64_t LONGER_MS = 1200;

constexpr const char *NAMES[KINDS] = { "kill",
                                       "freeze",
                                       "log-down",
                                       "log-silent",
                                       "log-slow",
                                       "answers-lost",
                                       "stale-reads",
                                       "drain",
                                       "failing",
                                       "slow",
                                       "partition",
                                       "crash",
                                       "crashing-request",
                                       "rate-limit",
                                       "odd-rate-limit",
                                       "leaving" };

/// Two signals for the life of one process would undo each other, and so would two partitions.
bool isExclusive(const Fault &a, const Fault &b)
{
    const auto isProcess = [](const Fault &fault) {
        return fault.kind == FaultKind::Kill || fault.kind == FaultKind::Freeze;
    };
    return a.kind == b.kind || (isProcess(a) && isProcess(b) && a.host == b.host);
}

Fault makeNoticeFault(std::uint64_t seed, std::size_t hosts)
{
    SeededRandom random(seed + NOTICE_SEED_OFFSET);
    Fault fault;
    fault.kind =
        static_cast<FaultKind>(FIRST_NOTICE_KIND + random.next() % (KINDS - FIRST_NOTICE_KIND));
    fault.host = random.next() % hosts;
    fault.begin = std::chrono::milliseconds(random.next() % LATEST_BEGIN_MS);
    fault.end = fault.begin + std::chrono::milliseconds(SHORTEST_MS + random.next() % LONGER_MS);
    return fault;
}

} // namespace

const char *toText(FaultKind kind)
{
    return NAMES[static_cast<std::size_t>(kind)];
}

std::vector<Fault> makeFaultSchedule(std::uint64_t seed, std::size_t hosts)
{
    SeededRandom random(seed);
    const std::size_t count = FEWEST_FAULTS + random.next() % MORE_FAULTS;
    std::vector<Fault> faults;
    while (faults.size() < count) {
        Fault fault;
        fault.kind = static_cast<FaultKind>(random.next() % FIRST_NOTICE_KIND);
        fault.host = random.next() % hosts;
        fault.begin = std::chrono::milliseconds(random.next() % LATEST_BEGIN_MS);
        fault.end =
            fault.begin + std::chrono::milliseconds(SHORTEST_MS + random.next() % LONGER_MS);
        const bool isPossible = std::none_of(faults.begin(), faults.end(), [&](const Fault &other) {
            return isExclusive(fault, other);
        });
        if (isPossible) {
            faults.push_back(fault);
        }
    }
    faults.push_back(makeNoticeFault(seed, hosts));
    std::sort(faults.begin(), faults.end(),
              [](const Fault &a, const Fault &b) { return a.begin < b.begin; });
    return faults;
}

std::string describe(const std::vector<Fault> &faults)
{
    std::string text;
    for (const Fault &fault : faults) {
        text += (text.empty() ? "" : " ") + std::string(toText(fault.kind)) + '@'
            + std::to_string(fault.host + 1);
    }
    return text;
}

} // namespace ivyspar::lab
