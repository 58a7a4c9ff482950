#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standins/history/history.h"
#include "state/endpoint.h"
#include "state/time.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"

namespace ivyspar::lab {

/// How a caller goes about one action.
struct CallerPlan
{
    GraphCall call;
    std::string token;
    /// Sent as `Idempotency-Key`; empty for none.
    std::string key;
    /// Sent as `Ivyspar-Ticket`; empty for none.
    std::string ticket;
    /// Must run at most once, whether it says so or not.
    bool isOnce = false;
    std::uint32_t budget = 0;
    /// Tried in turn, one for each attempt.
    std::vector<Endpoint> entries;
    std::uint32_t attempts = 1;
    /// Repeats what may have run, too, as an impatient caller does.
    bool isRepeatingUnknown = false;
    /// Repeats answers with status 5xx.
    bool isRepeatingErrors = false;
    Duration pause = std::chrono::milliseconds(20);
    Duration patience = std::chrono::seconds(5);
    /// Sent as `Ivyspar-Deadline-Ms`; zero for none.
    std::chrono::milliseconds deadline{ 0 };
};

/// Sends callers' actions, many at a time, and records what each attempt was told.
class HistoryCaller
{
public:
    HistoryCaller();
    ~HistoryCaller();

    /// Returns at once. Actions with the same token are recorded as one.
    void send(CallerPlan plan);
    /// Waits until all actions have ended.
    void waitForAll();
    /// All actions that have ended.
    std::vector<CallerAction> actions() const;
    /// Attempts that have ended so far.
    std::size_t attemptCount() const;

private:
    void perform(const CallerPlan &plan);
    CallerAttempt sendOnce(const CallerPlan &plan, std::uint32_t attempt);
    void record(const CallerPlan &plan, const CallerAttempt &attempt);

    std::unique_ptr<IEventLoop> m_loop;
    std::unique_ptr<IHttpClient> m_client;
    mutable std::mutex m_mutex;
    std::condition_variable m_ended;
    std::vector<CallerAction> m_actions;
    std::size_t m_open = 0;
    std::thread m_thread;
};

} // namespace ivyspar::lab
