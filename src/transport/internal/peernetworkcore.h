#pragma once

// Slow to compile: to be included by the implementation of the peer network only.

#include <chrono>
#include <map>
#include <string>
#include <unordered_map>

#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "transport/internal/websocketconfig.h"

#include <websocketpp/client.hpp>
#include <websocketpp/server.hpp>

#include "transport/internal/eventloop.h"
#include "transport/internal/peerconnectattempt.h"
#include "transport/ipeernetwork.h"

namespace ivyspar {

/// The links and their handlers. Lives until websocketpp has released the last connection, which
/// is after the network was destroyed; it calls no handler by then.
class PeerNetworkCore
    : public boost::intrusive_ref_counter<PeerNetworkCore, boost::thread_unsafe_counter>
{
public:
    explicit PeerNetworkCore(EventLoop &loop);

    void setHandler(IPeerHandler *handler) { m_handler = handler; }
    RetVal<Endpoint> listen(const Endpoint &endpoint, const PeerLimits &limits);
    RetVal<LinkId> connect(const Endpoint &endpoint);
    Ret send(LinkId link, const std::string &frame);
    void enableCompression(LinkId link);
    void close(LinkId link) { close(link, CLOSE_TIMEOUT); }
    std::size_t linkCount() const { return m_establishedCount; }
    void shutdown(Duration timeout);
    /// Terminates all connections at once and calls the handler no more.
    void abort();

private:
    using WebSocketServer = websocketpp::server<WebSocketConfig>;
    using WebSocketClient = websocketpp::client<WebSocketConfig>;
    using Connection = websocketpp::connection<WebSocketConfig>;
    using ConnectionPtr = Connection::ptr;
    using Hdl = websocketpp::connection_hdl;

    template <typename WebSocketEndpoint> void setUp(WebSocketEndpoint &endpoint);
    template <typename WebSocketEndpoint> void applyLimits(WebSocketEndpoint &endpoint);
    void close(LinkId link, Duration timeout);
    static ConnectionPtr fromHdl(const Hdl &hdl);
    ConnectionPtr findOpen(LinkId link) const;
    std::size_t sendLimit(const std::string &frame) const;

    void startAccept();
    void onAccept(const boost::system::error_code &error, boost::asio::ip::tcp::socket socket);
    void addIncoming(boost::asio::ip::tcp::socket socket);
    void startLink(const ConnectionPtr &connection, boost::asio::ip::tcp::socket socket);

    Ret openLink(const Endpoint &endpoint);
    RetVal<boost::asio::ip::tcp::socket> openSocket(const Endpoint &endpoint);
    void finishAttempt(const Endpoint &endpoint, const RetVal<LinkId> &result);

    bool onValidate(const Hdl &hdl);
    void onOpen(const Hdl &hdl);
    void onMessage(const Hdl &hdl, const Connection::message_ptr &message);
    RetVal<std::string> decodeMessage(const ConnectionPtr &connection,
                                      const std::string &message) const;
    static std::string encodeMessage(const ConnectionPtr &connection, const std::string &frame);
    bool onPing(const Hdl &hdl);
    void onPong(const Hdl &hdl);
    void onTerminated(const ConnectionPtr &connection);
    void forget(const ConnectionPtr &connection);
    void reportLinkDown(LinkId link);

    void startHeartbeat();
    void onHeartbeat();
    void checkLink(const ConnectionPtr &connection, TimePoint now);

    /// Time to send the queued frames and to receive the peer's close frame.
    static constexpr Duration CLOSE_TIMEOUT = std::chrono::seconds(1);

    EventLoop &m_loop;
    PeerLimits m_limits;
    IPeerHandler *m_handler = nullptr;
    WebSocketServer m_server;
    WebSocketClient m_client;
    boost::asio::ip::tcp::acceptor m_acceptor;
    /// All connections of websocketpp: in the handshake, established and closing.
    std::unordered_map<LinkId, ConnectionPtr> m_connections;
    std::map<Endpoint, LinkId> m_outgoing;
    std::map<Endpoint, PeerConnectAttemptPtr> m_attempts;
    std::size_t m_establishedCount = 0;
    std::uint64_t m_lastId = 0;
    TimePoint m_lastHeartbeat;
    bool m_hasHeartbeat = false;
    bool m_isShutDown = false;
    FiberWaiter m_shutdownWaiter;
};
using PeerNetworkCorePtr = boost::intrusive_ptr<PeerNetworkCore>;

} // namespace ivyspar
