#pragma once

#include <cstddef>
#include <memory>

#include "coordination/membership/imembership.h"

namespace ivyspar {

/// Times are of the observer's own clock. docs/notes/membership.md has the reasons.
struct MembershipOptions
{
    /// One member is pinged in each period.
    Duration period = std::chrono::seconds(1);
    /// Time after which others are asked to ping a member that did not answer; below `period`.
    Duration ackTimeout = std::chrono::milliseconds(400);
    /// Interval of `tick`, and of extra messages while there is something to spread.
    Duration gossipInterval = std::chrono::milliseconds(200);
    /// Extra messages per gossip interval while there is something to spread.
    std::size_t gossipFanout = 2;
    /// Members asked to ping one that did not answer.
    std::size_t indirectProbes = 3;
    /// An update is sent `retransmitFactor` × log2(members) times by each daemon.
    double retransmitFactor = 1.0;
    /// A suspect has `suspicionFactor` × log2(members) periods, at least three, to refute.
    double suspicionFactor = 1.0;
    /// Bytes of updates on one message. Bounds what a daemon sends while much changes at once:
    /// about 12 messages a second.
    std::size_t updateBytes = 700;
    /// Full records sent by this daemon to others: refill per second, and the most at once. One
    /// exchange stays below the latter, and that below the limit of a frame (256 KiB).
    std::size_t syncBytesPerSecond = 4096;
    std::size_t syncBurstBytes = 64 * 1024;
    /// Smallest time between two exchanges that this daemon asks for.
    Duration syncInterval = std::chrono::seconds(2);
    /// A gap between ticks beyond this is a freeze of this process.
    Duration freezeThreshold = std::chrono::seconds(2);
    /// How long to listen after a freeze before anyone is suspected again.
    Duration postFreezeGrace = std::chrono::seconds(2);
    /// How often a dead member or a seed is tried again.
    Duration recontactInterval = std::chrono::seconds(5);
    /// How long a dead or departed member is remembered, and how many at most.
    Duration deadRetention = std::chrono::minutes(30);
    std::size_t maxDead = 1024;
    /// Bound on members taken in from others.
    std::size_t maxMembers = 4096;
    std::size_t maxSeeds = 256;
};

std::unique_ptr<IMembership> makeMembership(TimePoint now, const Member &self,
                                            const MembershipOptions &options = {});

} // namespace ivyspar
