#pragma once

#include <cstddef>
#include <vector>

#include "state/ids.h"
#include "state/irandom.h"
#include "state/time.h"

namespace ivyspar {

struct PollSettings
{
    /// Deadline from the publication of a change until it is in force everywhere.
    Duration applyWithin = std::chrono::seconds(13);
    /// Timeout of a read without long polling.
    Duration readTimeout = std::chrono::seconds(2);
    /// Number of fast pollers per failure domain.
    std::uint32_t fastPerDomain = 2;
    /// Long-poll time of fast pollers: for how long the log may delay an empty answer.
    Duration longPoll = std::chrono::seconds(2);
    /// Minimum interval of empty answers to fast pollers, for logs without long polling.
    Duration fastInterval = std::chrono::milliseconds(500);
    /// Mean interval between reads of slow pollers; each is drawn from 0.5 to 1.5 times the mean.
    Duration slowInterval = std::chrono::seconds(5);
    Duration firstBackoff = std::chrono::milliseconds(200);
    Duration maxBackoff = std::chrono::seconds(5);
};

/// Whether `self` is one of the fast pollers of its failure domain: the `fastPerDomain` daemons
/// with the highest hash (rendezvous hashing), so that few roles change if a daemon joins or
/// leaves. Different views of two daemons only result in one fast poller more or less.
bool isFastPoller(const DaemonId &self, const std::vector<DaemonId> &domainPeers,
                  std::uint32_t fastPerDomain);

/// Random pause before the next read of a daemon if all `daemons` together read about once per
/// `interval`, so that the read rate of the log does not depend on their number. A daemon that
/// knows few others reads often; one that lost all others relies on the log alone.
Duration drawSharedReadPause(Duration interval, std::size_t daemons, IRandom &random);

/// Schedules reads of the log. Does no I/O and is not thread-safe.
class PollSchedule
{
public:
    explicit PollSchedule(const PollSettings &settings);

    void setFast(bool isFast) { m_isFast = isFast; }
    bool isFast() const { return m_isFast; }
    /// Long-poll time of the next read; zero for slow pollers and after a failure.
    Duration longPollTimeout() const;
    /// A page was read in the time `took`. `isAtEnd`: there are no further records at present.
    /// Returns the pause before the next read.
    Duration onPage(bool isEmpty, bool isAtEnd, Duration took, IRandom &random);
    /// A read failed. Returns the pause before the next read.
    Duration onFailure(IRandom &random);

private:
    PollSettings m_settings;
    bool m_isFast = false;
    std::uint32_t m_failures = 0;
};

} // namespace ivyspar
