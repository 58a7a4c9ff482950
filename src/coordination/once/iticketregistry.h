#pragma once

#include <optional>
#include <string>

#include "coordination/once/ioncecoordinator.h"

namespace ivyspar {

/// The run of a daemon that a ticket belongs to: only it may run the ticket's request.
struct TicketOwner
{
    DaemonId daemon;
    Incarnation incarnation;
};

/// Whom to send a request with that ticket to; none if it is not a ticket.
std::optional<TicketOwner> readTicketOwner(const std::string &ticket);

struct TicketRequest
{
    CallId call;
    std::string ticket;
    RequestFingerprint fingerprint;
    TimePoint deadline;
};

/// Hands out tickets, and runs each at most once from this process's memory: no log is needed.
/// A ticket ends with this run of the daemon. Its check value keeps callers from making up tickets
/// or using another's by a slip; it is a keyed hash without cryptographic strength, and who forges
/// one gains a request that runs at most once, as any caller may send. Plain object.
class ITicketRegistry
{
public:
    virtual ~ITicketRegistry() = default;

    virtual std::string issue(TimePoint now) = 0;
    /// Replies at once, proceeds, or waits for the attempt that runs; as IOnceCoordinator.
    virtual OnceActions request(TimePoint now, const TicketRequest &request) = 0;
    virtual bool start(TimePoint now, CallId call) = 0;
    virtual OnceActions finished(TimePoint now, CallId call, const Verdict &verdict,
                                 const HttpResponse &response) = 0;
    virtual OnceActions notRun(TimePoint now, CallId call) = 0;
    virtual OnceActions cancel(TimePoint now, CallId call) = 0;
    virtual OnceActions tick(TimePoint now) = 0;
};

} // namespace ivyspar
