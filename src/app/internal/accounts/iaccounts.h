#pragma once

#include <functional>
#include <optional>

#include "coordination/admission/iaccountshares.h"
#include "state/configuration.h"
#include "state/outcome.h"
#include "state/time.h"

namespace ivyspar {

/// Authenticates callers and enforces account limits at entries. Traffic thread only.
class IAccounts
{
public:
    virtual ~IAccounts() = default;

    /// Whether calls that match the rule need a key.
    virtual bool needsKey(const RuleSpec &rule) const = 0;
    /// Returns the account that holds the key, null if no account does and the rule needs no key,
    /// or the reason why the caller is refused. The account lives as long as the configuration.
    virtual tl::expected<const AccountSpec *, Verdict>
    identify(const RuleSpec &rule, const std::optional<AccountKey> &key) const = 0;
    /// Takes a token of the account's limit for one request. May suspend the calling fiber for some
    /// milliseconds. Returns the reason if the request is refused.
    virtual std::optional<Verdict> take(const AccountName &account) = 0;
    /// The claim to capacity of a request of the account, which may be empty; unset if the rules
    /// have no accounts.
    virtual std::optional<AccountClaim> claimOf(const AccountName & /*account*/) const
    {
        return std::nullopt;
    }
    /// Returns the token of a request that was not run.
    virtual void refund(const AccountName &account) = 0;
};

} // namespace ivyspar
