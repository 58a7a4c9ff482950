#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "app/icontrolexchange.h"
#include "protocol/documentexchange.h"
#include "state/irandom.h"

namespace ivyspar {

/// Tells random peers which version is in force here, and how current that is.
class DocumentOffers
{
public:
    using MakeOffer = std::function<DocumentOffer()>;

    /// All references outlive the object.
    DocumentOffers(DomainName domain, IControlExchange &exchange, IRandom &random,
                   MakeOffer makeOffer);

    void sendTo(const DaemonId &peer);
    /// To peers of the own failure domain, or to any if it has none.
    void sendToSameDomain(std::uint32_t count);
    /// To peers of other failure domains.
    void sendToOtherDomains(std::uint32_t count);
    /// To one peer of each other failure domain.
    void sendToEachDomain();

private:
    std::vector<ControlPeer> selectPeers(bool inSameDomain) const;
    void sendToRandom(std::vector<ControlPeer> peers, std::uint32_t count);

    DomainName m_domain;
    IControlExchange &m_exchange;
    IRandom &m_random;
    MakeOffer m_makeOffer;
};

} // namespace ivyspar
