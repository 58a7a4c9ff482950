#include "coordination/once/internal/ticketregistry.h"

#include <algorithm>
#include <charconv>

#include <xxhash.h>

namespace ivyspar {

namespace {

constexpr char SEPARATOR = '.';
constexpr int ISSUE_SAMPLES_PER_LIFETIME = 100;
constexpr Duration IDLE_TICK_INTERVAL{ std::chrono::seconds(1) };

struct Ticket
{
    TicketOwner owner;
    std::uint64_t counter = 0;
    std::uint64_t checksum = 0;
};

bool readNumber(const std::string &text, std::uint64_t &value)
{
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc() && result.ptr == end;
}

/// Removes the last field from `text` and returns it.
std::string takeField(std::string &text)
{
    const std::size_t at = text.rfind(SEPARATOR);
    if (at == std::string::npos) {
        return {};
    }
    std::string field = text.substr(at + 1);
    text.resize(at);
    return field;
}

/// A daemon's name may contain the separator, so the fields are parsed from the end.
std::optional<Ticket> readTicket(std::string text)
{
    Ticket ticket;
    std::uint64_t incarnation = 0;
    const bool isValid = readNumber(takeField(text), ticket.checksum)
        && readNumber(takeField(text), ticket.counter) && readNumber(takeField(text), incarnation)
        && !text.empty();
    if (!isValid) {
        return std::nullopt;
    }
    ticket.owner = { DaemonId(text), Incarnation(incarnation) };
    return ticket;
}

Verdict makeVerdict(Outcome outcome, Reason reason)
{
    Verdict verdict;
    verdict.outcome = outcome;
    verdict.reason = reason;
    return verdict;
}

OnceReply makeReply(CallId call, const StoredOutcome &outcome, const DaemonId &holder)
{
    return { call, outcome.verdict, outcome.response, holder };
}

} // namespace

std::optional<TicketOwner> readTicketOwner(const std::string &ticket)
{
    const auto read = readTicket(ticket);
    if (!read) {
        return std::nullopt;
    }
    return read->owner;
}

std::unique_ptr<ITicketRegistry> makeTicketRegistry(TimePoint now, const DaemonId &self,
                                                    Incarnation incarnation,
                                                    const TicketSecret &secret,
                                                    const TicketOptions &options)
{
    return std::make_unique<TicketRegistry>(now, self, incarnation, secret, options);
}

TicketRegistry::TicketRegistry(TimePoint now, const DaemonId &self, Incarnation incarnation,
                               const TicketSecret &secret, const TicketOptions &options)
    : m_options(options)
    , m_self(self)
    , m_incarnation(incarnation)
    , m_secret(secret)
    , m_outcomeCache(options.maxOutcomeCacheBytes, options.maxOutcomeBytes)
{
    m_issueSamples.emplace_back(0, now);
}

std::string TicketRegistry::issue(TimePoint now)
{
    if (now - m_issueSamples.back().second >= m_options.lifetime / ISSUE_SAMPLES_PER_LIFETIME) {
        m_issueSamples.emplace_back(m_lastCounter, now);
    }
    const std::uint64_t counter = ++m_lastCounter;
    return m_self.value() + SEPARATOR + std::to_string(m_incarnation.value()) + SEPARATOR
        + std::to_string(counter) + SEPARATOR + std::to_string(checksumOf(counter));
}

std::uint64_t TicketRegistry::checksumOf(std::uint64_t counter) const
{
    const std::string text = m_self.value() + SEPARATOR + std::to_string(m_incarnation.value())
        + SEPARATOR + std::to_string(counter);
    return XXH3_64bits_withSecret(text.data(), text.size(), m_secret.data(), m_secret.size());
}

OnceActions TicketRegistry::request(TimePoint now, const TicketRequest &request)
{
    OnceActions actions;
    std::uint64_t counter = 0;
    if (const auto verdict = refuse(now, request, counter)) {
        actions.replies.push_back({ request.call, *verdict, {}, {} });
        return withWakeTime(now, std::move(actions));
    }
    const auto [found, isNew] = m_usedTickets.try_emplace(counter);
    UsedTicket &used = found->second;
    if (isNew) {
        used.fingerprint = request.fingerprint;
        m_usedCounters.insert(counter);
    }
    if (used.fingerprint != request.fingerprint) {
        const Verdict verdict = makeVerdict(Outcome::NotRun, Reason::BadRequest);
        actions.replies.push_back({ request.call, verdict, {}, {} });
        return withWakeTime(now, std::move(actions));
    }
    if (used.isDone) {
        actions.replies.push_back(makeReply(request.call, m_outcomeCache.get(counter), m_self));
        return withWakeTime(now, std::move(actions));
    }
    addWaiter(counter, used, request);
    if (!used.grantedAttempt) {
        grantNext(now, counter, actions);
    }
    return withWakeTime(now, std::move(actions));
}

std::optional<Verdict> TicketRegistry::refuse(TimePoint now, const TicketRequest &request,
                                              std::uint64_t &counter) const
{
    const auto ticket = readTicket(request.ticket);
    if (!ticket || ticket->owner.daemon != m_self) {
        return makeVerdict(Outcome::NotRun, Reason::BadRequest);
    }
    counter = ticket->counter;
    if (ticket->owner.incarnation != m_incarnation || counter <= m_lastExpiredCounter) {
        // Whether the ticket was used is no longer known.
        return makeVerdict(Outcome::Unknown, Reason::KeyHolderGone);
    }
    if (counter > m_lastCounter || ticket->checksum != checksumOf(counter)) {
        return makeVerdict(Outcome::NotRun, Reason::BadRequest);
    }
    if (now >= request.deadline) {
        return makeVerdict(Outcome::NotRun, Reason::DeadlineExceeded);
    }
    if (m_usedTickets.size() >= m_options.maxUsedTickets && m_usedTickets.count(counter) == 0) {
        return makeVerdict(Outcome::NotRun, Reason::QueueFull);
    }
    return std::nullopt;
}

void TicketRegistry::addWaiter(std::uint64_t counter, UsedTicket &used,
                               const TicketRequest &request)
{
    used.waiters.push_back({ request.call, request.deadline });
    m_byCall[request.call] = counter;
    m_deadlines.emplace(request.deadline, request.call);
}

bool TicketRegistry::start(TimePoint now, CallId call)
{
    std::uint64_t counter = 0;
    UsedTicket *used = findByCall(call, counter);
    const bool isGranted = used && used->grantedAttempt && used->grantedAttempt->call == call;
    if (!isGranted || used->isStarted || now >= used->grantedAttempt->deadline) {
        return false;
    }
    used->isStarted = true;
    return true;
}

OnceActions TicketRegistry::finished(TimePoint now, CallId call, const Verdict &verdict,
                                     const HttpResponse &response)
{
    OnceActions actions;
    std::uint64_t counter = 0;
    UsedTicket *used = findByCall(call, counter);
    if (!used || !used->grantedAttempt || used->grantedAttempt->call != call) {
        return withWakeTime(now, std::move(actions));
    }
    m_byCall.erase(call);
    used->grantedAttempt.reset();
    used->isDone = true;
    const StoredOutcome outcome{ verdict, response };
    m_outcomeCache.put(counter, outcome);
    replyAll(*used, outcome, actions);
    return withWakeTime(now, std::move(actions));
}

OnceActions TicketRegistry::notRun(TimePoint now, CallId call)
{
    OnceActions actions;
    std::uint64_t counter = 0;
    UsedTicket *used = findByCall(call, counter);
    if (used && used->grantedAttempt && used->grantedAttempt->call == call) {
        m_byCall.erase(call);
        used->grantedAttempt.reset();
        used->isStarted = false;
        grantNext(now, counter, actions);
    }
    return withWakeTime(now, std::move(actions));
}

OnceActions TicketRegistry::cancel(TimePoint now, CallId call)
{
    std::uint64_t counter = 0;
    UsedTicket *used = findByCall(call, counter);
    if (!used) {
        return withWakeTime(now, {});
    }
    if (used->grantedAttempt && used->grantedAttempt->call == call) {
        return used->isStarted ? withWakeTime(now, {}) : notRun(now, call);
    }
    const auto found = std::find_if(used->waiters.begin(), used->waiters.end(),
                                    [call](const Attempt &waiter) { return waiter.call == call; });
    if (found != used->waiters.end()) {
        removeFromIndexes(*found);
        used->waiters.erase(found);
    }
    return withWakeTime(now, {});
}

OnceActions TicketRegistry::tick(TimePoint now)
{
    OnceActions actions;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const CallId call = m_deadlines.begin()->second;
        // Another attempt with the ticket is running.
        const Verdict verdict = makeVerdict(Outcome::Unknown, Reason::KeyBusy);
        actions.replies.push_back({ call, verdict, {}, m_self });
        cancel(now, call);
    }
    while (m_issueSamples.size() > 1 && now - m_issueSamples[1].second >= m_options.lifetime) {
        m_issueSamples.pop_front();
        m_lastExpiredCounter = m_issueSamples.front().first;
    }
    while (!m_usedCounters.empty() && *m_usedCounters.begin() <= m_lastExpiredCounter) {
        const std::uint64_t counter = *m_usedCounters.begin();
        UsedTicket &used = m_usedTickets[counter];
        StoredOutcome lost;
        lost.verdict = makeVerdict(Outcome::Unknown, Reason::KeyHolderGone);
        replyAll(used, lost, actions);
        if (used.grantedAttempt) {
            m_byCall.erase(used.grantedAttempt->call);
        }
        m_outcomeCache.erase(counter);
        m_usedTickets.erase(counter);
        m_usedCounters.erase(m_usedCounters.begin());
    }
    return withWakeTime(now, std::move(actions));
}

void TicketRegistry::grantNext(TimePoint now, std::uint64_t counter, OnceActions &actions)
{
    UsedTicket &used = m_usedTickets[counter];
    while (!used.waiters.empty()) {
        const Attempt next = used.waiters.front();
        used.waiters.erase(used.waiters.begin());
        m_deadlines.erase({ next.deadline, next.call });
        if (now < next.deadline) {
            used.grantedAttempt = next;
            actions.proceed.push_back(next.call);
            return;
        }
        m_byCall.erase(next.call);
        const Verdict verdict = makeVerdict(Outcome::NotRun, Reason::DeadlineExceeded);
        actions.replies.push_back({ next.call, verdict, {}, {} });
    }
    // No attempt ran and none is waiting: the ticket is unused again.
    m_usedTickets.erase(counter);
    m_usedCounters.erase(counter);
}

TicketRegistry::UsedTicket *TicketRegistry::findByCall(CallId call, std::uint64_t &counter)
{
    const auto found = m_byCall.find(call);
    if (found == m_byCall.end()) {
        return nullptr;
    }
    counter = found->second;
    const auto used = m_usedTickets.find(counter);
    return used == m_usedTickets.end() ? nullptr : &used->second;
}

void TicketRegistry::removeFromIndexes(const Attempt &waiter)
{
    m_byCall.erase(waiter.call);
    m_deadlines.erase({ waiter.deadline, waiter.call });
}

void TicketRegistry::replyAll(UsedTicket &used, const StoredOutcome &outcome, OnceActions &actions)
{
    for (const Attempt &waiter : std::exchange(used.waiters, {})) {
        removeFromIndexes(waiter);
        actions.replies.push_back(makeReply(waiter.call, outcome, m_self));
    }
}

OnceActions TicketRegistry::withWakeTime(TimePoint now, OnceActions actions) const
{
    actions.wakeAt = now + IDLE_TICK_INTERVAL;
    if (!m_deadlines.empty()) {
        actions.wakeAt = std::min(actions.wakeAt, m_deadlines.begin()->first);
    }
    return actions;
}

} // namespace ivyspar
