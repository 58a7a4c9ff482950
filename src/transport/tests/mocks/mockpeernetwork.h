#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "transport/ipeernetwork.h"

namespace ivyspar {

/// Records the frames sent and lets a test act as the peers. Never suspends.
class MockPeerNetwork : public IPeerNetwork
{
public:
    struct Sent
    {
        LinkId link;
        std::string frame;
    };

    /// `connect` fails while set.
    bool isUnreachable = false;
    /// `send` fails with `Throttled` while set.
    bool isCongested = false;
    /// `send` fails with `InvalidArgument` for larger frames.
    std::size_t maxFrameBytes = SIZE_MAX;
    std::vector<Sent> sent;
    std::set<LinkId> compressed;
    std::map<Endpoint, LinkId> links;
    IPeerHandler *handler = nullptr;

    /// Adds a link that a peer opened.
    LinkId addIncoming()
    {
        m_incoming.push_back(LinkId(++m_lastId));
        return m_incoming.back();
    }

    /// Simulates the arrival of a frame.
    void receive(LinkId link, std::string frame)
    {
        if (handler != nullptr && isOpen(link)) {
            handler->onFrame(link, std::move(frame));
        }
    }

    /// Simulates a lost link, or the end of a link after `close`.
    void lose(LinkId link)
    {
        if (remove(link) && handler != nullptr) {
            handler->onLinkDown(link);
        }
    }

    /// The frames sent on one link, in order.
    std::vector<std::string> framesOn(LinkId link) const
    {
        std::vector<std::string> frames;
        for (const auto &one : sent) {
            if (one.link == link) {
                frames.push_back(one.frame);
            }
        }
        return frames;
    }

    bool isOpen(LinkId link) const
    {
        for (const auto &entry : links) {
            if (entry.second == link) {
                return true;
            }
        }
        for (const LinkId one : m_incoming) {
            if (one == link) {
                return true;
            }
        }
        return false;
    }

    void setHandler(IPeerHandler *newHandler) override { handler = newHandler; }

    RetVal<Endpoint> listen(const Endpoint &endpoint, const PeerLimits & /*limits*/) override
    {
        return endpoint;
    }

    RetVal<LinkId> connect(const Endpoint &endpoint) override
    {
        const auto open = links.find(endpoint);
        if (open != links.end()) {
            return open->second;
        }
        if (isUnreachable) {
            return makeError(ErrorCode::Unavailable, "mock: unreachable");
        }
        return links.emplace(endpoint, LinkId(++m_lastId)).first->second;
    }

    Ret send(LinkId link, std::string frame) override
    {
        if (!isOpen(link)) {
            return makeError(ErrorCode::Unavailable, "mock: the link is closed");
        }
        if (isCongested) {
            return makeError(ErrorCode::Throttled, "mock: the send buffer of the link is full");
        }
        if (frame.size() > maxFrameBytes) {
            return makeError(ErrorCode::InvalidArgument, "mock: the frame exceeds the size limit");
        }
        sent.push_back({ link, std::move(frame) });
        return {};
    }

    void enableCompression(LinkId link) override { compressed.insert(link); }
    void close(LinkId link) override { lose(link); }
    std::size_t linkCount() const override { return links.size() + m_incoming.size(); }

    void shutdown(Duration /*timeout*/) override
    {
        while (!links.empty()) {
            lose(links.begin()->second);
        }
        while (!m_incoming.empty()) {
            lose(m_incoming.back());
        }
    }

private:
    bool remove(LinkId link)
    {
        for (auto entry = links.begin(); entry != links.end(); ++entry) {
            if (entry->second == link) {
                links.erase(entry);
                return true;
            }
        }
        for (auto one = m_incoming.begin(); one != m_incoming.end(); ++one) {
            if (*one == link) {
                m_incoming.erase(one);
                return true;
            }
        }
        return false;
    }

    std::vector<LinkId> m_incoming;
    std::uint64_t m_lastId = 0;
};

} // namespace ivyspar
