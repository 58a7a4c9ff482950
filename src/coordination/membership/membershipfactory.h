#pragma once

#include <cstddef>
#include <memory>

#include "coordination/membership/imembership.h"

namespace ivyspar {

/// Times refer to the observer's own clock. docs/notes/membership.md has the reasons.
struct MembershipOptions
{
    /// Protocol period: one member is pinged per period.
    Duration period = std::chrono::seconds(1);
    /// Ack timeout after which indirect pings are requested; less than `period`.
    Duration ackTimeout = std::chrono::milliseconds(400);
    /// Interval of `tick`, and of extra gossip messages while updates are pending.
    Duration gossipInterval = std::chrono::milliseconds(200);
    /// Extra gossip messages per gossip interval while updates are pending.
    std::size_t gossipFanout = 2;
    /// Number of members that are asked to ping a member that did not answer.
    std::size_t indirectProbes = 3;
    /// Each daemon sends an update `retransmitFactor` × log2(members) times, at least four.
    double retransmitFactor = 1.0;
    /// Suspicion timeout in periods: `suspicionFactor` × log2(members), at least three.
    double suspicionFactor = 1.0;
    /// Maximum bytes of updates in one message. Bounds the traffic of a daemon, about 12 messages
    /// per second, during a burst of changes.
    std::size_t updateBytes = 700;
    /// Token bucket for the records that this daemon sends in anti-entropy exchanges: refill rate
    /// and capacity. A single exchange fits into the capacity, and that into a frame (256 KiB).
    std::size_t syncBytesPerSecond = 4096;
    std::size_t syncBurstBytes = 64 * 1024;
    /// Minimum interval between two anti-entropy exchanges that this daemon requests.
    Duration syncInterval = std::chrono::seconds(2);
    /// A longer gap between two ticks means that this process was suspended.
    Duration freezeThreshold = std::chrono::seconds(2);
    /// Time after a freeze during which no member is suspected or declared dead.
    Duration postFreezeGrace = std::chrono::seconds(2);
    /// Mean interval between two pings of a random dead member. At some of these times a seed is
    /// contacted as well.
    Duration recontactInterval = std::chrono::seconds(5);
    /// Retention of dead and departed members: by age, and by number.
    Duration deadRetention = std::chrono::minutes(30);
    std::size_t maxDead = 1024;
    /// Together with `maxDead` bounds the number of known members.
    std::size_t maxMembers = 4096;
    std::size_t maxSeeds = 256;
};

/// `now` is the time of the start; `self` is this daemon's own record.
std::unique_ptr<IMembership> makeMembership(TimePoint now, const Member &self,
                                            const MembershipOptions &options = {});

} // namespace ivyspar
