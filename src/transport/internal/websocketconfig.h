#pragma once

// Slow to compile: to be included by the implementation of the peer network only.

#include <cstddef>
#include <memory>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/transport/asio/endpoint.hpp>

#include "state/endpoint.h"
#include "state/ids.h"
#include "state/time.h"
#include "transport/internal/framecompression.h"

namespace ivyspar {

class PeerNetworkCore;
void intrusive_ptr_add_ref(PeerNetworkCore *core);
void intrusive_ptr_release(PeerNetworkCore *core);

/// State of this side for each WebSocket connection.
struct PeerLinkState
{
    /// Keeps the core alive until websocketpp has released the last connection.
    boost::intrusive_ptr<PeerNetworkCore> core;
    LinkId id;
    /// Remote endpoint, if this side opened the link.
    Endpoint endpoint;
    TimePoint lastReceived;
    /// When the last frame was sent or received.
    TimePoint lastFrame;
    bool isOutgoing = false;
    bool isEstablished = false;
    bool isPinged = false;
    /// Set once frames to the peer are compressed.
    std::unique_ptr<FrameDeflater> deflater;
    /// Set from the peer's first compressed frame on.
    std::unique_ptr<FrameInflater> inflater;
};

/// Single-threaded, no logging, small buffers. The base class has no extensions enabled;
/// websocketpp 0.8.2 fails its own client handshakes if extension support is disabled altogether.
struct WebSocketConfig : websocketpp::config::core
{
    // NOLINTBEGIN(readability-identifier-naming): names required by websocketpp.
    using concurrency_type = websocketpp::concurrency::none;
    using alog_type = websocketpp::log::stub;
    using elog_type = websocketpp::log::stub;
    using connection_base = PeerLinkState;
    static const bool enable_multithreading = false;

    struct transport_config : websocketpp::config::core::transport_config
    {
        using concurrency_type = websocketpp::concurrency::none;
        using alog_type = websocketpp::log::stub;
        using elog_type = websocketpp::log::stub;
        using request_type = websocketpp::config::core::request_type;
        using response_type = websocketpp::config::core::response_type;
        using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
        static const bool enable_multithreading = false;
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;

    /// Allocated for each connection. A typical frame is smaller than 1 KiB.
    static const std::size_t connection_read_buffer_size = 2048;
    /// A handshake has no body.
    static const std::size_t max_http_body_size = 1024;
    /// After an invalid frame the rest of the stream cannot be parsed: the link is dropped at once,
    /// as a closing handshake could wait for a reply that never arrives.
    static const bool drop_on_protocol_error = true;
    // NOLINTEND(readability-identifier-naming)
};

} // namespace ivyspar
