#pragma once

#include <map>
#include <unordered_map>
#include <utility>

#include <boost/intrusive/list.hpp>

#include "coordination/admission/internal/accountlevel.h"

namespace ivyspar {

class AccountShares : public IAccountShares
{
public:
    explicit AccountShares(const AccountSharesOptions &options);
    ~AccountShares() override;

    AccountVerdict admit(TimePoint now, const AccountClaim &claim,
                         const AccountRequest &request) override;
    AccountShareStatus status(TimePoint now, const AccountName &account,
                              const ServiceName &bottleneck, Priority priority) const override;
    std::vector<AccountShareStatus> statuses(TimePoint now, std::size_t count) const override;
    std::size_t size() const override { return m_accounts.size(); }

private:
    /// A service and a priority.
    using GroupKey = std::pair<ServiceName, Priority>;
    struct Group
    {
        explicit Group(const AccountSharesOptions &options)
            : level(options)
        {
        }
        AccountLevel level;
        /// Accumulated `relativeShare` of the requests of cut accounts.
        double startCredit = 0;
    };
    using Groups = std::map<GroupKey, Group>;
    struct AccountKey
    {
        const Group *group = nullptr;
        AccountName account;
        friend bool operator==(const AccountKey &a, const AccountKey &b)
        {
            return a.group == b.group && a.account == b.account;
        }
    };
    struct AccountKeyHash
    {
        std::size_t operator()(const AccountKey &key) const
        {
            return std::hash<AccountName>()(key.account) ^ std::hash<const Group *>()(key.group);
        }
    };
    struct Account : boost::intrusive::list_base_hook<>
    {
        const AccountKey *key = nullptr;
        const GroupKey *groupKey = nullptr;
        DemandRate demand;
        DemandRate admitted;
        double weight = 0;
        /// Slot time that the account may use at once, in µs; negative after an expensive request.
        double credit = 0;
        TimePoint updatedAt;
    };
    using Accounts = std::unordered_map<AccountKey, Account, AccountKeyHash>;

    Account &accountOf(TimePoint now, Groups::value_type &group, const AccountName &name);
    void removeInactive(TimePoint now);
    void remove(Account &account);
    /// Slot time per second that the account can get at least, in µs.
    double fairRate(const Account &account, const Group &group) const;
    double maxCredit(TimePoint now, const Account &account, const Group &group) const;
    void refill(TimePoint now, const Group &group, const AccountRequest &request,
                double minRelativeShare, Account &account) const;
    bool isEntitled(TimePoint now, Group &group, const AccountRequest &request,
                    const Account &account) const;
    AccountShareStatus statusOf(TimePoint now, const Account &account) const;

    AccountSharesOptions m_options;
    Groups m_groups;
    Accounts m_accounts;
    /// Longest without a request first.
    boost::intrusive::list<Account> m_byLastUse;
};

} // namespace ivyspar
