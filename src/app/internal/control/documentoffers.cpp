#include "app/internal/control/documentoffers.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace ivyspar {

DocumentOffers::DocumentOffers(DomainName domain, IControlExchange &exchange, IRandom &random,
                               MakeOffer makeOffer)
    : m_domain(std::move(domain))
    , m_exchange(exchange)
    , m_random(random)
    , m_makeOffer(std::move(makeOffer))
{
}

void DocumentOffers::sendTo(const DaemonId &peer)
{
    m_exchange.send(peer, encodeDocumentMessage(m_makeOffer()));
}

void DocumentOffers::sendToSameDomain(std::uint32_t count)
{
    std::vector<ControlPeer> sameDomainPeers = selectPeers(true);
    sendToRandom(sameDomainPeers.empty() ? m_exchange.peers() : std::move(sameDomainPeers), count);
}

void DocumentOffers::sendToOtherDomains(std::uint32_t count)
{
    sendToRandom(selectPeers(false), count);
}

void DocumentOffers::sendToEachDomain()
{
    std::map<DomainName, std::vector<ControlPeer>> domains;
    for (ControlPeer &peer : selectPeers(false)) {
        domains[peer.domain].push_back(std::move(peer));
    }
    for (auto &[domain, peers] : domains) {
        sendToRandom(std::move(peers), 1);
    }
}

std::vector<ControlPeer> DocumentOffers::selectPeers(bool inSameDomain) const
{
    std::vector<ControlPeer> all = m_exchange.peers();
    std::vector<ControlPeer> chosen;
    std::copy_if(all.begin(), all.end(), std::back_inserter(chosen), [&](const ControlPeer &peer) {
        return (peer.domain == m_domain) == inSameDomain;
    });
    return chosen;
}

void DocumentOffers::sendToRandom(std::vector<ControlPeer> peers, std::uint32_t count)
{
    for (std::uint32_t i = 0; i < count && !peers.empty(); ++i) {
        const std::size_t chosen = m_random.below(peers.size());
        sendTo(peers[chosen].id);
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

} // namespace ivyspar
