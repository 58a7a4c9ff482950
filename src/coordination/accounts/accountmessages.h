#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// A share of an account's rate limit, in millionths (`WHOLE_RATE` is all of it).
using RateShare = StrongType<std::uint32_t, struct RateShareTag>;
constexpr RateShare WHOLE_RATE{ 1'000'000 };

/// The state of one account at an entry, and the tokens that the entry requests from the account's
/// home.
struct TokenDemand
{
    AccountName account;
    /// Requests that are waiting for a token.
    std::uint32_t waiting = 0;
    /// Further tokens that the entry wants to keep in its cache.
    std::uint32_t prefetch = 0;
    /// Tokens left in the entry's cache.
    std::uint32_t held = 0;
    /// Surplus tokens that the entry returns; not included in `held`.
    std::uint32_t returned = 0;
    /// Requests per second for the account at the entry, averaged over
    /// `AccountLimitOptions::demandWindow`.
    double rate = 0;
    /// The same, averaged over the duration of a lease.
    double longTermRate = 0;
    /// The entry's lease and its remaining validity; zero if it has expired.
    RateShare lease;
    Duration leaseLeft{ 0 };
    /// Requests admitted without tokens from the home (by lease or from a fallback); a running
    /// total.
    std::uint32_t locallyAdmitted = 0;
};

/// What the home grants to an entry for one account.
struct TokenGrant
{
    AccountName account;
    /// False if the receiver of the request does not consider itself the account's home (nor was
    /// asked as its fallback), or knows no limit of the account. All other fields but `account`
    /// then have their defaults.
    bool isFromHome = true;
    std::uint32_t tokens = 0;
    /// For how long the entry should not request again; zero if all waiting requests got a token.
    Duration emptyFor{ 0 };
    /// Retry delay for callers that are refused.
    Duration retryAfter{ 0 };
    /// Share of the rate that the entry may admit on its own while it cannot reach the home, and
    /// how long this is valid, counted from when the request was sent.
    RateShare lease;
    Duration leaseDuration{ 0 };
};

struct TokenRequest
{
    /// Matches the response to its request.
    std::uint32_t number = 0;
    /// The home is unresponsive; the receiver acts as its fallback and grants no more than the
    /// pooled leases of the entries that request from it.
    bool isForFallback = false;
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
