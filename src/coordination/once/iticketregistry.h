#pragma once

#include <optional>
#include <string>

#include "coordination/once/ioncecoordinator.h"

namespace ivyspar {

/// The daemon and incarnation that issued a ticket: only they may run the ticket's request.
struct TicketOwner
{
    DaemonId daemon;
    Incarnation incarnation;
};

/// Parses the owner that a request with this ticket must be sent to; none if it is malformed. Does
/// not verify the ticket.
std::optional<TicketOwner> readTicketOwner(const std::string &ticket);

struct TicketRequest
{
    CallId call;
    std::string ticket;
    RequestFingerprint fingerprint;
    TimePoint deadline;
};

/// Issues tickets, and runs the request of each at most once. State is kept in memory only, so no
/// log is needed and a ticket is valid only for this run of the daemon. The checksum in a ticket
/// detects made-up and mistyped tickets; it is a keyed hash without cryptographic strength, since a
/// forged ticket only allows a request that runs at most once, which any caller may send anyway.
/// Does no I/O and reads no clock; not thread-safe.
class ITicketRegistry
{
public:
    virtual ~ITicketRegistry() = default;

    virtual std::string issue(TimePoint now) = 0;
    /// Replies immediately, proceeds, or waits for the attempt that runs. This and the methods
    /// below behave as in IOnceCoordinator.
    virtual OnceActions request(TimePoint now, const TicketRequest &request) = 0;
    virtual bool start(TimePoint now, CallId call) = 0;
    virtual OnceActions finished(TimePoint now, CallId call, const Verdict &verdict,
                                 const HttpResponse &response) = 0;
    virtual OnceActions notRun(TimePoint now, CallId call) = 0;
    virtual OnceActions cancel(TimePoint now, CallId call) = 0;
    virtual OnceActions tick(TimePoint now) = 0;
};

} // namespace ivyspar
