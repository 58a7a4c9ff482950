#pragma once

#include <cstddef>
#include <vector>

#include "state/ids.h"
#include "state/irandom.h"
#include "state/time.h"

namespace ivyspar {

struct PollSettings
{
    /// A change is in force everywhere within this time of its publication.
    Duration applyWithin = std::chrono::seconds(13);
    /// After this time a read that waits for nothing is given up.
    Duration readTimeout = std::chrono::seconds(2);
    /// Daemons of a failure domain that follow the log closely.
    std::uint32_t fastPerDomain = 2;
    /// For how long the log may hold back the answer to a close follower.
    Duration longPoll = std::chrono::seconds(2);
    /// Shortest time between two empty answers, for logs that hold no answer back.
    Duration fastInterval = std::chrono::milliseconds(500);
    /// Mean time between two reads of the others; each is drawn from half to one and a half.
    Duration slowInterval = std::chrono::seconds(5);
    Duration firstBackoff = std::chrono::milliseconds(200);
    Duration maxBackoff = std::chrono::seconds(5);
};

/// Whether `self` is among the daemons of its failure domain that follow the log closely: those
/// with the highest hash (rendezvous hashing), so that hardly any role changes when a daemon comes
/// or goes. Two daemons with different views only mean a reader more or less.
bool isFastPoller(const DaemonId &self, const std::vector<DaemonId> &domainPeers,
                  std::uint32_t fastPerDomain);

/// Pause before the next read of a daemon that shares one read in each `interval` with all others:
/// the log sees as many reads from a thousand daemons as from ten. A daemon that knows of few
/// others reads often, so one that lost them all goes by the log alone.
Duration drawSharedReadPause(Duration interval, std::size_t daemons, IRandom &random);

/// When to read the log next. Plain object.
class PollSchedule
{
public:
    explicit PollSchedule(const PollSettings &settings);

    void setFast(bool isFast) { m_isFast = isFast; }
    bool isFast() const { return m_isFast; }
    /// For how long the log may hold the next answer back.
    Duration longPollTimeout() const;
    /// A page came. `isAtEnd`: nothing more is there to read now. Returns the pause before the
    /// next read.
    Duration onPage(bool isEmpty, bool isAtEnd, Duration took, IRandom &random);
    /// The log cannot be read. Returns the pause before the next read.
    Duration onFailure(IRandom &random);

private:
    PollSettings m_settings;
    bool m_isFast = false;
    std::uint32_t m_failures = 0;
};

} // namespace ivyspar
