#include "coordination/memory/internal/bodybudget.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

namespace {

/// Messages up to this size may use the reserve, so that large ones do not keep them out.
constexpr std::size_t SMALL_BYTES = 64 * 1024;
/// Part of the limit that is reserved for small messages, in addition to it.
constexpr std::size_t RESERVE_DIVISOR = 8;

} // namespace

BodyBudgetPtr makeBodyBudget(std::size_t bytes)
{
    return { new BodyBudget(bytes) };
}

BodyBudget::BodyBudget(std::size_t bytes)
{
    for (Share &share : m_shares) {
        share.usage.limit = bytes / m_shares.size();
    }
}

BodyChargePtr BodyBudget::open(MessageKind kind, OnYield onYield)
{
    const bool canYield = static_cast<bool>(onYield);
    const boost::intrusive_ptr<Charge> charge(new Charge(*this, kind, std::move(onYield)));
    if (canYield) {
        shareOf(kind).arriving.push_back(*charge);
    }
    return charge;
}

BodyChargePtr BodyBudget::adopt(MessageKind kind, std::size_t bytes)
{
    const boost::intrusive_ptr<Charge> charge(new Charge(*this, kind, {}));
    charge->count(bytes);
    return charge;
}

bool BodyBudget::makeRoom(MessageKind kind, const Charge &growing, std::size_t bytes)
{
    Share &share = shareOf(kind);
    const std::size_t reserve = bytes <= SMALL_BYTES ? share.usage.limit / RESERVE_DIVISOR : 0;
    const auto hasRoom = [&] {
        return share.usage.bytes - growing.bytes() + bytes <= share.usage.limit + reserve;
    };
    while (!hasRoom()) {
        Charge *largest = largestOf(share.arriving);
        if (!largest || largest == &growing || largest->bytes() <= bytes) {
            ++share.usage.dropped;
            return false;
        }
        ++share.usage.dropped;
        largest->yield();
    }
    return true;
}

BodyBudget::Charge *BodyBudget::largestOf(Charges &charges)
{
    const auto largest =
        std::max_element(charges.begin(), charges.end(),
                         [](const Charge &a, const Charge &b) { return a.bytes() < b.bytes(); });
    return largest == charges.end() ? nullptr : &*largest;
}

BodyBudget::Charge::Charge(BodyBudget &budget, MessageKind kind, OnYield onYield)
    : m_budget(&budget)
    , m_kind(kind)
    , m_onYield(std::move(onYield))
{
}

BodyBudget::Charge::~Charge()
{
    count(0);
}

bool BodyBudget::Charge::resize(std::size_t bytes)
{
    if (m_hasYielded) {
        return false;
    }
    if (bytes > m_bytes && !m_budget->makeRoom(m_kind, *this, bytes)) {
        return false;
    }
    count(bytes);
    return true;
}

void BodyBudget::Charge::count(std::size_t bytes)
{
    std::size_t &all = m_budget->shareOf(m_kind).usage.bytes;
    all = all - m_bytes + bytes;
    m_bytes = bytes;
}

void BodyBudget::Charge::complete()
{
    unlink();
    m_onYield = {};
}

void BodyBudget::Charge::yield()
{
    unlink();
    m_hasYielded = true;
    count(0);
    if (const OnYield onYield = std::exchange(m_onYield, {})) {
        onYield();
    }
}

} // namespace ivyspar
