#pragma once

// Compiles slowly: for the implementation of the peer network only.

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

/// What this side keeps with each WebSocket connection.
struct PeerLinkState
{
    /// Keeps the core until websocketpp has let go of the last connection.
    boost::intrusive_ptr<PeerNetworkCore> core;
    LinkId id;
    /// Where the link leads, if this side opened it.
    Endpoint endpoint;
    TimePoint lastReceived;
    /// The last frame in either direction.
    TimePoint lastFrame;
    bool isOutgoing = false;
    bool isEstablished = false;
    bool isPinged = false;
    /// Set while the frames to the other side are compressed.
    std::unique_ptr<FrameDeflater> deflater;
    /// Set from the first compressed frame of the other side on.
    std::unique_ptr<FrameInflater> inflater;
};

/// One thread, no logging, small buffers. The base class has no extension; websocketpp 0.8.2 fails
/// its own client handshakes when extensions are switched off altogether.
struct WebSocketConfig : websocketpp::config::core
{
    // NOLINTBEGIN(readability-identifier-naming): the names that websocketpp asks for.
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

    /// Part of each connection's memory. The usual frame has less than 1 KiB.
    static const std::size_t connection_read_buffer_size = 2048;
    /// A handshake has no body.
    static const std::size_t max_http_body_size = 1024;
    /// After an invalid frame the rest of the stream means nothing: the link ends at once, where
    /// a closing handshake would wait for an answer that may never come.
    static const bool drop_on_protocol_error = true;
    // NOLINTEND(readability-identifier-naming)
};

} // namespace ivyspar
