#pragma once

#include <cstdint>
#include <memory>

#include "coordination/routing/irouter.h"

namespace ivyspar {

/// Options of a router. Each mechanism can be disabled to measure its effect.
struct RouterOptions
{
    /// The failure domain of this host.
    DomainName domain;

    /// If false, one random server is chosen instead of the better of two.
    bool usesTwoChoices = true;
    /// If false, servers of all failure domains are treated alike.
    bool prefersOwnDomain = true;
    /// If false, a new server gets its full share at once.
    bool hasSlowStart = true;
    /// If false, errors neither worsen a server's score nor eject it.
    bool hasErrorPenalty = true;
    /// If false, only load reports count, not latency and the entry's own calls.
    bool usesLocalObservations = true;
    /// If false, no call is refused because of a reported floor.
    bool hasFloor = true;

    /// Calls spill over from a server of the own failure domain at this utilization.
    double spillUtilization = 0.9;
    /// As `spillUtilization`, while calls are divided by the shares of `IRouter::setShares`: calls
    /// that a domain cannot take are then sent elsewhere already.
    double balancedSpillUtilization = 1.25;
    /// As `spillUtilization`, for its latency as a multiple of the service's mean.
    double spillLatency = 2.5;
    /// As `spillUtilization`, for its share of errors.
    double spillErrorShare = 0.3;

    /// A call spills only to a server whose score is below this share of the own server's: a
    /// smaller gain is not worth the traffic between failure domains.
    double spillScoreRatio = 0.8;

    /// A load report counts less with age, and not at all after this time.
    Duration reportLifetime = std::chrono::seconds(1);
    /// A reported floor holds for this time …
    Duration floorHold = std::chrono::milliseconds(500);
    /// … and then decays to 0 within this time.
    Duration floorDecay = std::chrono::seconds(1);
    /// A server's latency and errors decay within this time if no call to it ends.
    Duration observationLifetime = std::chrono::seconds(5);

    /// Slow start of a server that does not report how long it is cold.
    Duration slowStartTime = std::chrono::seconds(5);
    /// Share of its capacity that a cold server has at first.
    double coldCapacityShare = 0.1;
    /// As `coldCapacityShare`, for a server that reports how long it is cold: it is known to be
    /// there, and only slow.
    double reportedColdCapacityShare = 0.4;

    /// Consecutive errors that eject a server. An unreachable server counts as two.
    std::uint32_t ejectErrorPoints = 5;
    /// Only a server whose share of errors is above this multiple of the others' is ejected.
    double ejectErrorRatio = 2;
    /// Time of the first ejection, doubled with each further one …
    Duration ejectionTime = std::chrono::seconds(1);
    /// … up to this time.
    Duration maxEjectionTime = std::chrono::seconds(16);
    /// An unreachable server is not tried again for this time, doubled with each consecutive
    /// failure …
    Duration unreachableTime = std::chrono::milliseconds(500);
    /// … up to this time.
    Duration maxUnreachableTime = std::chrono::seconds(2);
    /// At most this share of a service's servers is ejected at a time.
    double maxEjectedShare = 0.5;

    /// Refused callers are spread over [retryAfter, 2 × retryAfter).
    Duration retryAfter = std::chrono::milliseconds(200);
};

std::unique_ptr<IRouter> makeRouter(const RouterOptions &options);

} // namespace ivyspar
