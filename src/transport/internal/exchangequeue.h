#pragma once

#include <cstddef>
#include <list>

#include "transport/ihttpserver.h"
#include "transport/internal/httpexchange.h"
#include "transport/internal/pipelineledger.h"

namespace ivyspar {

/// The unanswered requests of a connection, in the order in which they arrived and are answered.
/// Counts what is held for those behind the first one.
class ExchangeQueue
{
public:
    explicit ExchangeQueue(PipelineLedger &ledger);
    ~ExchangeQueue();
    ExchangeQueue(const ExchangeQueue &) = delete;
    ExchangeQueue &operator=(const ExchangeQueue &) = delete;

    bool isEmpty() const { return m_entries.empty(); }
    std::size_t size() const { return m_entries.size(); }
    HttpExchange &front() { return m_entries.front().exchange; }
    HttpExchange &back() { return m_entries.back().exchange; }

    /// Whether a response that is ready, or was sent, closes the connection.
    bool isClosing() const { return m_isClosing; }
    /// Whether the limits allow another request to start before its turn.
    bool hasRoom(const HttpLimits &limits) const;
    HttpExchange &push(ReceivedRequest received, ConnectionTally &tally);
    /// To be called when a response is set. If it closes the connection, those behind it are
    /// cancelled.
    void onFinished(const HttpExchange &exchange);
    void popFront();
    /// Counts the bytes of a request that is read before its turn and has not started.
    void holdUnstarted(std::size_t bytes);

    /// Notifies the handlers of all exchanges.
    void notifyDisconnect();
    void notifyUndelivered(DeliveryFailure failure);
    void dropCallbacks();

private:
    struct Entry
    {
        HttpExchange exchange;
        std::size_t heldBytes = 0;
        /// It was started before its turn.
        bool isAhead = false;
    };

    /// Replaces the count `held` by `bytes`.
    void hold(std::size_t &held, std::size_t bytes);
    std::list<Entry>::iterator find(const HttpExchange &exchange);

    PipelineLedger &m_ledger;
    std::list<Entry> m_entries;
    std::size_t m_unstartedBytes = 0;
    bool m_isClosing = false;
    std::size_t m_bytes = 0;
};

} // namespace ivyspar
