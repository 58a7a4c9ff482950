#pragma once

#include <cstdint>
#include <memory>

#include "coordination/routing/irouter.h"

namespace ivyspar {

/// Settings of a router. Each policy can be switched off to measure what it is worth.
struct RouterOptions
{
    /// The failure domain of this host.
    DomainName domain;

    /// Off: one random server instead of the better of two.
    bool usesTwoChoices = true;
    /// Off: servers of all failure domains are equal.
    bool prefersOwnDomain = true;
    /// Off: a server that newly appears gets its full share at once.
    bool hasSlowStart = true;
    /// Off: errors neither make a server less attractive nor take it out.
    bool hasErrorPenalty = true;
    /// Off: latency and the entry's own calls do not count, only load reports.
    bool usesLocalObservations = true;
    /// Off: no call is refused early.
    bool hasFloor = true;

    /// A server of the own failure domain that is busier than this share spills.
    double spillUtilization = 0.9;
    /// As `spillUtilization`, for its latency as a multiple of the service's.
    double spillLatency = 2.5;
    /// As `spillUtilization`, for its share of errors.
    double spillErrorShare = 0.3;

    /// A call spills only to a server whose score is below this share of the own one's: for less,
    /// its bytes between failure domains are not worth it.
    double spillScoreRatio = 0.8;

    /// A load report counts less with age and no longer after this time.
    Duration reportLifetime = std::chrono::seconds(1);
    /// A floor is believed for this time …
    Duration floorHold = std::chrono::milliseconds(500);
    /// … and then falls to 0 within this time.
    Duration floorDecay = std::chrono::seconds(1);
    /// Without answers a server's latency and errors are forgotten in this time.
    Duration observationLifetime = std::chrono::seconds(5);

    Duration slowStartTime = std::chrono::seconds(5);
    /// Share of its capacity that a cold server counts with at first.
    double coldCapacityShare = 0.1;
    /// The same for one that says itself for how long it is cold: it is known to be there, and only
    /// slow.
    double reportedColdCapacityShare = 0.4;

    /// Errors in a row that take a server out.
    std::uint32_t ejectErrorPoints = 5;
    /// Only a server whose share of errors is this multiple of the others' is taken out.
    double ejectErrorRatio = 2;
    Duration ejectionTime = std::chrono::seconds(1);
    Duration maxEjectionTime = std::chrono::seconds(16);
    /// A server that could not be reached is not tried again for this time, twice as long with each
    /// failure in a row …
    Duration unreachableTime = std::chrono::milliseconds(500);
    /// … and this long at most.
    Duration maxUnreachableTime = std::chrono::seconds(2);
    /// At most this share of a service's servers is out.
    double maxEjectedShare = 0.5;

    /// Refused callers are spread over [shortest, 2 × shortest).
    Duration retryAfter = std::chrono::milliseconds(200);
};

std::unique_ptr<IRouter> makeRouter(const RouterOptions &options);

} // namespace ivyspar
