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

/// Two runs of a key are at least `lifetime` apart: the holder of a claim starts nothing later than
/// `startWindow` after it first sent the claim, and other daemons ignore the claim only `window()`
/// after they read it. Each daemon measures with its own clock; reading late only lengthens the
/// second time. `clockMargin` covers clocks that run at different speeds.
struct OnceOptions
{
    Duration lifetime = MAX_KEY_LIFETIME;
    Duration startWindow = std::chrono::seconds(60);
    Duration clockMargin = std::chrono::seconds(30);
    Duration window() const { return lifetime + startWindow + clockMargin; }

    /// Bound on the claims and releases in one append.
    std::size_t maxBatchEntries = 256;
    /// Shortest time between two appends.
    Duration minAppendInterval = std::chrono::milliseconds(5);
    /// How often one claim is sent while its appends have an unknown result.
    std::uint32_t maxClaimCopies = 4;
    /// Bound on the records in one read.
    std::uint32_t maxReadRecords = 512;
    /// Interval between reads while no append awaits its result.
    Duration idleReadInterval = std::chrono::seconds(1);
    /// Delay after a read that did not yet contain an append of this daemon.
    Duration readRetryDelay = std::chrono::milliseconds(25);
    /// For this long after a failed read, or an append that certainly failed, new requests are
    /// refused immediately; also the delay after a failed read, and the `retryAfter` of refusals.
    Duration logBackoff = std::chrono::milliseconds(250);
    /// While an append or a read takes longer than this, new requests are refused as if the log had
    /// failed.
    Duration stallTimeout = std::chrono::seconds(1);
    std::size_t maxKeyBytes = 256;
    /// Keys that this daemon holds state for; also bounds the abandoned claims that it remembers.
    std::size_t maxTrackedKeys = 20000;
    /// Active claims in the claim table.
    std::size_t maxTableEntries = 150000;
    /// Bytes of all stored outcomes together.
    std::size_t maxOutcomeCacheBytes = 4 * 1024 * 1024;
    /// Bytes of a single stored outcome.
    std::size_t maxOutcomeBytes = 64 * 1024;
};

/// Fails with `InvalidArgument` unless the log retains records for longer than the claim window:
/// claims would otherwise be dropped while they are still in force.
Ret validateOnceOptions(const OnceOptions &options, Duration logRetention);

struct TicketOptions
{
    /// Tickets are valid for at least this long after they were issued.
    Duration lifetime = std::chrono::minutes(30);
    /// Tickets that have been presented and have not expired.
    std::size_t maxUsedTickets = 20000;
    /// Bytes of all stored outcomes together.
    std::size_t maxOutcomeCacheBytes = 2 * 1024 * 1024;
    /// Bytes of a single stored outcome.
    std::size_t maxOutcomeBytes = 64 * 1024;
};

/// Random bytes known only to this run of the daemon; the key of the checksums in tickets.
using TicketSecret = std::array<std::uint8_t, 192>;

/// `hashSeed` is random and secret, so that callers cannot choose keys that collide in the table.
std::unique_ptr<IClaimTable> makeClaimTable(const OnceOptions &options, std::uint64_t hashSeed);
/// `hashSeed` as for `makeClaimTable`.
std::unique_ptr<IOnceCoordinator> makeOnceCoordinator(TimePoint now, const DaemonId &self,
                                                      Incarnation incarnation,
                                                      std::uint64_t hashSeed,
                                                      const OnceOptions &options = {});
std::unique_ptr<ITicketRegistry> makeTicketRegistry(TimePoint now, const DaemonId &self,
                                                    Incarnation incarnation,
                                                    const TicketSecret &secret,
                                                    const TicketOptions &options = {});

} // namespace ivyspar
