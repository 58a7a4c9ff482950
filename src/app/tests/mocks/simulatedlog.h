#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "transport/ieventloop.h"
#include "transport/ikeyedlog.h"
#include "transport/oneshot.h"

namespace ivyspar {

/// A keyed stream of the platform, shared by the clients of a simulation.
struct SimulatedStream
{
    std::vector<KeyedRecord> records;
    /// Number of reads by all clients, answered or not.
    std::size_t reads = 0;
};

/// One daemon's access to a stream, over a connection that can fail. Calls suspend the fiber.
class SimulatedLog : public IKeyedLog
{
public:
    enum class Service { Answers, Silent, Refuses };

    SimulatedLog(IEventLoop &loop, SimulatedStream &stream)
        : m_loop(loop)
        , m_stream(stream)
    {
    }

    /// A call that is pending when the log goes silent is not answered later either.
    void setService(Service service)
    {
        m_service = service;
        if (service == Service::Silent) {
            loseConnection();
        }
    }
    /// The pending call, or else the next one, is not answered; later ones use a new connection.
    void loseConnection() { m_isConnectionLost = true; }

    RetVal<KeyedPage> newest(const StreamName & /*stream*/) override
    {
        return call(LogOffset(0), Duration::zero());
    }
    RetVal<KeyedPage> read(const StreamName & /*stream*/, LogOffset from, Duration wait) override
    {
        return call(from, wait);
    }
    Ret put(const StreamName & /*stream*/, const std::vector<KeyedRecord> &records) override
    {
        m_stream.records.insert(m_stream.records.end(), records.begin(), records.end());
        return {};
    }
    void cancel() override
    {
        if (m_cancellation) {
            m_cancellation->set(true);
        }
    }

private:
    static constexpr Duration ROUND_TRIP = std::chrono::milliseconds(4);
    static constexpr Duration STEP = std::chrono::milliseconds(5);

    RetVal<KeyedPage> call(LogOffset from, Duration wait)
    {
        ++m_stream.reads;
        const TimePoint startedAt = m_loop.now();
        if (sleepUntil(startedAt + ROUND_TRIP)) {
            return makeError(ErrorCode::Cancelled, "cancelled");
        }
        if (m_service == Service::Refuses && !m_isConnectionLost) {
            return makeError(ErrorCode::Unavailable, "refused");
        }
        while (!isSilent() && m_stream.records.size() <= from.value()
               && m_loop.now() < startedAt + wait) {
            if (sleepUntil(m_loop.now() + STEP)) {
                return makeError(ErrorCode::Cancelled, "cancelled");
            }
        }
        return isSilent() ? timeOut(startedAt + wait + KEYED_LOG_TIMEOUT) : pageFrom(from);
    }

    bool isSilent() const { return m_isConnectionLost || m_service == Service::Silent; }

    RetVal<KeyedPage> timeOut(TimePoint end)
    {
        const bool isCancelled = sleepUntil(end);
        m_isConnectionLost = false;
        return makeError(isCancelled ? ErrorCode::Cancelled : ErrorCode::Unknown, "no answer");
    }

    RetVal<KeyedPage> pageFrom(LogOffset from) const
    {
        const std::vector<KeyedRecord> &records = m_stream.records;
        const auto first = std::min<std::size_t>(from.value(), records.size());
        KeyedPage page;
        page.records.assign(records.begin() + static_cast<std::ptrdiff_t>(first), records.end());
        page.next = LogOffset(records.size());
        return page;
    }

    /// Returns true if cancelled.
    bool sleepUntil(TimePoint end)
    {
        m_cancellation = std::make_unique<OneShot<bool>>(m_loop);
        const auto left = std::chrono::duration_cast<Duration>(end - m_loop.now());
        const bool isCancelled = m_cancellation->wait(left).has_value();
        m_cancellation.reset();
        return isCancelled;
    }

    IEventLoop &m_loop;
    SimulatedStream &m_stream;
    std::unique_ptr<OneShot<bool>> m_cancellation;
    Service m_service = Service::Answers;
    bool m_isConnectionLost = false;
};

} // namespace ivyspar
