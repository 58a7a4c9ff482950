#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Of an account's rate, in parts of `WHOLE_RATE`.
using RateShare = StrongType<std::uint32_t, struct RateShareTag>;
constexpr RateShare WHOLE_RATE{ 1'000'000 };

/// What an entry asks of the home of an account.
struct TokenDemand
{
    AccountName account;
    /// Requests that wait for a unit now.
    std::uint32_t waiting = 0;
    /// Units that it wants to have at hand besides.
    std::uint32_t prefetch = 0;
    /// Units at hand, and units that it gives back besides.
    std::uint32_t held = 0;
    std::uint32_t returned = 0;
    /// Requests a second that ask for the account there.
    double rate = 0;
    /// The same over the life of a lease.
    double longTermRate = 0;
    /// Its lease, and for how long that is still good.
    RateShare lease;
    Duration leaseLeft{ 0 };
    /// Requests that it let in without units of the home, since it began to count.
    std::uint32_t locallyAdmitted = 0;
};

/// What the home gives to an entry.
struct TokenGrant
{
    AccountName account;
    /// False: the receiver is not the account's home, as far as it knows.
    bool isFromHome = true;
    std::uint32_t tokens = 0;
    /// Nothing will be given for this long; zero if all that was asked for was given.
    Duration emptyFor{ 0 };
    /// When callers that are refused are to come back.
    Duration retryAfter{ 0 };
    /// What the entry may let in by itself while it cannot reach the home, and for how long after
    /// the question was sent.
    RateShare lease;
    Duration leaseDuration{ 0 };
};

struct TokenRequest
{
    /// Repeated in the answer.
    std::uint32_t number = 0;
    /// The home is silent: the receiver is asked to act for it, with no more than the leases of
    /// those that ask it.
    bool isForDeputy = false;
    std::vector<TokenDemand> demands;
};

struct TokenResponse
{
    std::uint32_t number = 0;
    std::vector<TokenGrant> grants;
};

using AccountMessage = std::variant<TokenRequest, TokenResponse>;

struct OutgoingAccountMessage
{
    DaemonId to;
    AccountMessage message;
};
using OutgoingAccountMessages = std::vector<OutgoingAccountMessage>;

} // namespace ivyspar
