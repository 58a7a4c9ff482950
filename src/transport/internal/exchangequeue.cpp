#include "transport/internal/exchangequeue.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

ExchangeQueue::ExchangeQueue(PipelineLedger &ledger)
    : m_ledger(ledger)
{
}

ExchangeQueue::~ExchangeQueue()
{
    while (!isEmpty()) {
        popFront();
    }
    holdUnstarted(0);
}

bool ExchangeQueue::hasRoom(const HttpLimits &limits) const
{
    const std::size_t response = m_ledger.expectedResponse();
    return size() < limits.pipelinedRequests
        && m_bytes + response <= limits.pipelinedConnectionBytes
        && m_ledger.stats().bytes + response <= limits.pipelinedServerBytes;
}

HttpExchange &ExchangeQueue::push(ReceivedRequest received, ConnectionTally &tally)
{
    const bool isAhead = !isEmpty();
    const std::size_t requestBytes = bytesOf(received.request);
    Entry &entry =
        m_entries.emplace_back(Entry{ HttpExchange(std::move(received), tally), 0, isAhead });
    if (isAhead) {
        hold(entry.heldBytes, requestBytes + m_ledger.expectedResponse());
        ++m_ledger.stats().inProgress;
        ++m_ledger.stats().started;
    }
    return entry.exchange;
}

void ExchangeQueue::onFinished(const HttpExchange &exchange)
{
    auto entry = find(exchange);
    const std::size_t bytes = bytesOf(exchange.response());
    if (entry->isAhead) {
        m_ledger.onResponse(bytes);
    } else {
        m_ledger.onOtherResponse();
    }
    if (entry != m_entries.begin()) {
        hold(entry->heldBytes, bytes);
        ++m_ledger.stats().waitedForTurn;
    }
    if (exchange.framing().isKeepAlive) {
        return;
    }
    m_isClosing = true;
    while (++entry != m_entries.end()) {
        entry->exchange.notifyDisconnect();
    }
}

void ExchangeQueue::popFront()
{
    Entry &first = m_entries.front();
    hold(first.heldBytes, 0);
    m_ledger.stats().inProgress -= first.isAhead ? 1 : 0;
    m_entries.pop_front();
    if (!isEmpty()) {
        hold(m_entries.front().heldBytes, 0);
    }
}

void ExchangeQueue::holdUnstarted(std::size_t bytes)
{
    hold(m_unstartedBytes, bytes);
}

void ExchangeQueue::notifyDisconnect()
{
    for (Entry &entry : m_entries) {
        entry.exchange.notifyDisconnect();
    }
}

void ExchangeQueue::notifyUndelivered(DeliveryFailure failure)
{
    for (Entry &entry : m_entries) {
        entry.exchange.notifyUndelivered(failure);
    }
}

void ExchangeQueue::dropCallbacks()
{
    for (Entry &entry : m_entries) {
        entry.exchange.dropCallbacks();
    }
}

void ExchangeQueue::hold(std::size_t &held, std::size_t bytes)
{
    m_ledger.release(held);
    m_ledger.hold(bytes);
    m_bytes = m_bytes - held + bytes;
    held = bytes;
}

std::list<ExchangeQueue::Entry>::iterator ExchangeQueue::find(const HttpExchange &exchange)
{
    return std::find_if(m_entries.begin(), m_entries.end(),
                        [&](const Entry &entry) { return &entry.exchange == &exchange; });
}

} // namespace ivyspar
