#pragma once

#include <functional>
#include <optional>

#include "state/configuration.h"
#include "state/outcome.h"
#include "state/time.h"

namespace ivyspar {

/// What a caller must show and may send, as entries ask. Traffic thread only.
class IAccounts
{
public:
    virtual ~IAccounts() = default;

    /// Whether callers of the rule must show a key.
    virtual bool needsKey(const RuleSpec &rule) const = 0;
    /// The account that holds the key, null where none is needed and none was shown; or why the
    /// caller is refused. The account lives as long as the configuration.
    virtual tl::expected<const AccountSpec *, Verdict>
    identify(const RuleSpec &rule, const std::optional<AccountKey> &key) const = 0;
    /// Takes a unit of the account's limit for one request; may suspend the calling fiber for some
    /// ms. Returns why the request is refused, if it is.
    virtual std::optional<Verdict> take(const AccountName &account) = 0;
    /// A request that took a unit was not run.
    virtual void refund(const AccountName &account) = 0;
};

} // namespace ivyspar
