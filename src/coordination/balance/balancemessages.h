#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "coordination/balance/domainshares.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// What the hosts of a report ask of a service, and what their own servers of the service can do.
struct ReportedWork
{
    ServiceName service;
    /// First attempts of callers and upstreams of these hosts, refused ones included, per second.
    double calls = 0;
    /// Mean slot time of a call at usual speed; zero if unknown.
    Duration workPerCall{ 0 };
    /// In slots of usual speed.
    double capacity = 0;
};

/// Sent by each daemon to the daemon that collects for its group, and by that, as the sum of its
/// group, to the summing daemon of the failure domain.
struct BalanceReport
{
    /// Grows with each report of a run of the sender.
    std::uint32_t round = 0;
    /// Number of daemons whose reports it contains.
    std::uint32_t reporters = 1;
    std::vector<ReportedWork> services;
};

/// The sums of one failure domain.
struct DomainSum
{
    DomainName domain;
    /// Time since the sums were made.
    Duration age{ 0 };
};

struct ServiceSums
{
    ServiceName service;
    /// One entry for each domain that has demand or capacity.
    std::vector<DomainWork> domains;
};

/// The sums that a summing daemon knows: only those of its own failure domain in a message to the
/// summing daemon of another one.
struct BalanceNews
{
    std::uint32_t round = 0;
    /// The daemon that made the message; others relay it.
    DaemonId origin;
    DomainName originDomain;
    std::vector<DomainSum> domains;
    std::vector<ServiceSums> services;
};

using BalanceMessage = std::variant<BalanceReport, BalanceNews>;

struct OutgoingBalanceMessage
{
    DaemonId to;
    BalanceMessage message;
};
using OutgoingBalanceMessages = std::vector<OutgoingBalanceMessage>;

} // namespace ivyspar
