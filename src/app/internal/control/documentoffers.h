#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "app/icontrolexchange.h"
#include "protocol/documentexchange.h"
#include "state/irandom.h"

namespace ivyspar {

/// Offers peers the version that is in force here, with the age of its last confirmation.
class DocumentOffers
{
public:
    using MakeOffer = std::function<DocumentOffer()>;

    /// All references outlive the object.
    DocumentOffers(DomainName domain, IControlExchange &exchange, IRandom &random,
                   MakeOffer makeOffer);

    void sendTo(const DaemonId &peer);
    /// Sends to random peers of this failure domain, or of any if this one has no other daemon.
    void sendToSameDomain(std::uint32_t count);
    /// Sends to random peers of other failure domains.
    void sendToOtherDomains(std::uint32_t count);
    /// Sends to one random peer of each other failure domain.
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
