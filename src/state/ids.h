#pragma once

#include <cstdint>
#include <string>

#include "state/strongtype.h"

namespace ivyspar {

using ServiceName = StrongType<std::string, struct ServiceNameTag>;
/// Name of a failure domain.
using DomainName = StrongType<std::string, struct DomainNameTag>;
using RegionName = StrongType<std::string, struct RegionNameTag>;
/// Name of a request class, as the rules define it.
using ClassName = StrongType<std::string, struct ClassNameTag>;
/// Instance id that an upstream reports. A restarted upstream may keep it; see upstreamrun.h.
using UpstreamId = StrongType<std::string, struct UpstreamIdTag>;
/// Identifies one run of an upstream's process; unique over all upstreams and all time.
using UpstreamRunName = StrongType<std::string, struct UpstreamRunNameTag>;
/// Version of an upstream's software, as reported by the upstream; empty if it reports none.
using UpstreamVersion = StrongType<std::string, struct UpstreamVersionTag>;
/// Identifies requests that are the same to their servers, see fingerprint.h; empty for none.
using Fingerprint = StrongType<std::string, struct FingerprintTag>;
/// Start time of a run of an upstream, in ms since the epoch by its own clock. Larger is newer; 0
/// if it reports none.
using UpstreamStart = StrongType<std::uint64_t, struct UpstreamStartTag>;
using RuleName = StrongType<std::string, struct RuleNameTag>;
/// Name of a client account.
using AccountName = StrongType<std::string, struct AccountNameTag>;
/// Secret that authenticates a caller as its client account. Must not be logged, displayed or
/// forwarded.
using AccountKey = StrongType<std::string, struct AccountKeyTag>;

/// A daemon's name; stable across restarts of the process on that host.
using DaemonId = StrongType<std::string, struct DaemonIdTag>;
/// One run of a daemon's process. Larger is newer; taken from the wall clock at start (in µs).
using Incarnation = StrongType<std::uint64_t, struct IncarnationTag>;

/// Identifies a caller's request across its whole call tree and all attempts.
using RootId = StrongType<std::uint64_t, struct RootIdTag>;
/// One attempt on a peer link; not reused while in flight.
using StreamId = StrongType<std::uint64_t, struct StreamIdTag>;
/// One open connection between two daemons, local to this process.
using LinkId = StrongType<std::uint64_t, struct LinkIdTag>;
/// A call that runs or is queued at the gate of this host.
using CallId = StrongType<std::uint64_t, struct CallIdTag>;

/// A caller's idempotency key.
using IdempotencyKey = StrongType<std::string, struct IdempotencyKeyTag>;

/// Version of the configuration; starts at 1 and only grows. 0 means none yet.
using ConfigurationVersion = StrongType<std::uint64_t, struct ConfigurationVersionTag>;
/// Position of a record in a stream of the platform's log.
using LogOffset = StrongType<std::uint64_t, struct LogOffsetTag>;
/// Grows each time the platform's log is restored from an older copy, which invalidates the offsets
/// of earlier eras. 0 if the log does not report it.
using LogEra = StrongType<std::uint64_t, struct LogEraTag>;
using StreamName = StrongType<std::string, struct StreamNameTag>;

/// Importance of a class: 0 is refused first, 100 last.
using Priority = StrongType<std::uint8_t, struct PriorityTag>;
constexpr Priority HIGHEST_PRIORITY{ 100 };
/// Order in which calls are admitted under overload; larger is admitted first. See rank.h.
using Rank = StrongType<std::uint32_t, struct RankTag>;
/// Number of calls between this call and the caller's request, which has depth 0.
using Depth = StrongType<std::uint8_t, struct DepthTag>;
/// Attempts that a call and all calls below it may still use together.
using AttemptCount = StrongType<std::uint32_t, struct AttemptCountTag>;

} // namespace ivyspar
