#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "state/result.h"
#include "state/time.h"
#include "transport/ilogservice.h"

namespace ivyspar::lab {

struct LogLimits
{
    std::uint32_t appendsPerSecond = 500;
    /// Records that a stream keeps.
    std::size_t keptRecords = 1000 * 1000;
    /// Age at which a record is forgotten.
    Duration keptFor = std::chrono::hours(1);
    std::size_t recordBytes = 1024 * 1024;
    /// Bound on the payloads of one page. A page has at least one record if there is one.
    std::size_t pageBytes = 2 * 1024 * 1024;
};

/// Faults on command. All off by default.
struct LogFaults
{
    /// Everything is refused at once, with proof that nothing was done.
    bool isDown = false;
    /// Nothing is ever answered, and nothing is done.
    bool isSilent = false;
    /// Answers come this much later, after the effect.
    Duration answerDelay{ 0 };
    /// Appends take effect this much later, also when the client has given up.
    Duration effectDelay{ 0 };
    /// So many of the next appends take effect without an answer.
    std::uint32_t answersLostAfter = 0;
    /// So many of the next appends neither take effect nor are answered.
    std::uint32_t answersLostBefore = 0;
    /// Reads do not show records that are younger.
    Duration staleness{ 0 };
    /// Clients that get no answer and have no effect.
    std::set<std::string> cutClients;
};

struct StreamStatistics
{
    std::uint64_t appends = 0;
    std::uint64_t appendedBytes = 0;
    std::uint64_t reads = 0;
    std::uint64_t emptyReads = 0;
    std::uint64_t readBytes = 0;
    std::uint64_t throttled = 0;
};

struct AppendResult
{
    enum class Kind {
        Appended,
        Throttled,
        TooLarge,
        Down,
        NoAnswer, ///< Whether it took effect is not told.
    };
    Kind kind = Kind::Appended;
    LogOffset offset;
};

struct ReadResult
{
    enum class Kind { Page, Down, NoAnswer };
    Kind kind = Kind::Page;
    LogPage page;
};

/// The platform's log in memory: append-only streams with offsets, limited retention, a limit on
/// appends a second, and faults.
class LogCore
{
public:
    explicit LogCore(const LogLimits &limits);

    AppendResult append(const StreamName &name, const std::string &payload,
                        const std::string &client, TimePoint now);
    ReadResult read(const StreamName &name, LogOffset from, std::uint32_t maxRecords,
                    const std::string &client, TimePoint now);

    LogFaults &faults() { return m_faults; }
    LogLimits &limits() { return m_limits; }
    const std::map<StreamName, StreamStatistics> &statistics() const { return m_statistics; }
    /// Forgets all records of a stream before `offset`.
    void forgetBefore(const StreamName &name, LogOffset offset);

private:
    struct StoredRecord
    {
        std::string payload;
        TimePoint time;
    };
    struct Stream
    {
        std::uint64_t first = 0;
        std::deque<StoredRecord> records;
    };

    bool isCut(const std::string &client) const;
    bool takeAppendPermit(TimePoint now);
    void forgetOld(Stream &stream, TimePoint now) const;
    LogPage makePage(const Stream &stream, LogOffset from, std::uint32_t maxRecords,
                     TimePoint now) const;

    LogLimits m_limits;
    LogFaults m_faults;
    std::map<StreamName, Stream> m_streams;
    std::map<StreamName, StreamStatistics> m_statistics;
    double m_permits;
    TimePoint m_permitsAt;
};

} // namespace ivyspar::lab
