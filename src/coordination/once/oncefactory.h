#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "coordination/once/iclaimtable.h"
#include "coordination/once/ioncecoordinator.h"
#include "coordination/once/iticketregistry.h"
#include "state/configuration.h"
#include "state/result.h"

namespace ivyspar {

/// Two runs of a key are at least `lifetime` apart: a claim's holder starts nothing later than
/// `startWindow` after it first sent the claim, and others let a claim pass only `window()` after
/// they saw it. Both times are taken from the observer's own clock, and reading late only makes the
/// second one longer; `clockMargin` covers clocks that run at different speeds.
struct OnceOptions
{
    Duration lifetime = MAX_KEY_LIFETIME;
    Duration startWindow = std::chrono::seconds(60);
    Duration clockMargin = std::chrono::seconds(30);
    Duration window() const { return lifetime + startWindow + clockMargin; }

    /// Bounds on one append, and the shortest time between two.
    std::size_t maxBatchEntries = 256;
    Duration minAppendInterval = std::chrono::milliseconds(5);
    /// Copies of a claim that are appended while the answers are lost.
    std::uint32_t maxClaimCopies = 4;
    std::uint32_t maxReadRecords = 512;
    /// Interval of reading while nothing waits.
    Duration idleReadInterval = std::chrono::seconds(1);
    /// Pause after a read that failed, or that did not yet show an append of ours.
    Duration readRetryDelay = std::chrono::milliseconds(25);
    /// After a failure of the log, requests are refused at once for this long, then one is tried.
    Duration logBackoff = std::chrono::milliseconds(250);
    /// An append or a read that takes longer: the log counts as unavailable for new requests.
    Duration stallTimeout = std::chrono::seconds(1);
    std::size_t maxKeyBytes = 256;
    std::size_t maxTrackedKeys = 20000;
    std::size_t maxTableEntries = 150000;
    /// Bytes of stored answers in all, and of a single one.
    std::size_t maxOutcomeCacheBytes = 4 * 1024 * 1024;
    std::size_t maxOutcomeBytes = 64 * 1024;
};

/// Fails with `InvalidArgument` when the log keeps records for less than the window: claims would
/// vanish while they still matter.
Ret validateOnceOptions(const OnceOptions &options, Duration logRetention);

struct TicketOptions
{
    Duration lifetime = std::chrono::minutes(30);
    std::size_t maxUsedTickets = 20000;
    std::size_t maxOutcomeCacheBytes = 2 * 1024 * 1024;
    std::size_t maxOutcomeBytes = 64 * 1024;
};

/// Random bytes that only this run of the daemon knows.
using TicketSecret = std::array<std::uint8_t, 192>;

std::unique_ptr<IClaimTable> makeClaimTable(const OnceOptions &options, std::uint64_t hashSeed);
/// `hashSeed` is random and secret, so that callers cannot choose keys that collide in the table.
std::unique_ptr<IOnceCoordinator> makeOnceCoordinator(TimePoint now, const DaemonId &self,
                                                      Incarnation incarnation,
                                                      std::uint64_t hashSeed,
                                                      const OnceOptions &options = {});
std::unique_ptr<ITicketRegistry> makeTicketRegistry(TimePoint now, const DaemonId &self,
                                                    Incarnation incarnation,
                                                    const TicketSecret &secret,
                                                    const TicketOptions &options = {});

} // namespace ivyspar
