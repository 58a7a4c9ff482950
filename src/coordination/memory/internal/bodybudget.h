#pragma once

#include <array>

#include <boost/intrusive/list.hpp>

#include "coordination/memory/ibodybudget.h"

namespace ivyspar {

class BodyBudget : public IBodyBudget
{
public:
    explicit BodyBudget(std::size_t bytes);

    BodyChargePtr open(MessageKind kind, OnYield onYield) override;
    BodyChargePtr adopt(MessageKind kind, std::size_t bytes) override;
    BodyUsage usage(MessageKind kind) const override { return shareOf(kind).usage; }

private:
    using ListHook = boost::intrusive::list_base_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    /// In the list of its share while it arrives and can yield.
    class Charge : public BodyCharge, public ListHook
    {
    public:
        Charge(BodyBudget &budget, MessageKind kind, OnYield onYield);
        ~Charge() override;

        bool resize(std::size_t bytes) override;
        void complete() override;

        std::size_t bytes() const { return m_bytes; }
        /// Counts the bytes without a check.
        void count(std::size_t bytes);
        void yield();

    private:
        boost::intrusive_ptr<BodyBudget> m_budget;
        MessageKind m_kind;
        OnYield m_onYield;
        std::size_t m_bytes = 0;
        bool m_hasYielded = false;
    };
    using Charges = boost::intrusive::list<Charge, boost::intrusive::constant_time_size<false>>;
    struct Share
    {
        BodyUsage usage;
        Charges arriving;
    };

    /// Makes room for a message that grows to `bytes`; false if there is none.
    bool makeRoom(MessageKind kind, const Charge &growing, std::size_t bytes);
    static Charge *largestOf(Charges &charges);
    Share &shareOf(MessageKind kind) { return m_shares[static_cast<std::size_t>(kind)]; }
    const Share &shareOf(MessageKind kind) const
    {
        return m_shares[static_cast<std::size_t>(kind)];
    }

    std::array<Share, 2> m_shares;
};

} // namespace ivyspar
