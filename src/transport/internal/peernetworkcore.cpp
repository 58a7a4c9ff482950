#include "transport/internal/peernetworkcore.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "transport/internal/tcpstream.h"

namespace ivyspar {

namespace {

using boost::asio::ip::tcp;

constexpr const char *RESOURCE = "/peer/3";
// Values of the first byte of each message.
constexpr char PLAIN = '\0';
constexpr char COMPRESSED = '\1';
/// The first byte plus the expansion of incompressible data by deflate.
constexpr std::size_t MESSAGE_OVERHEAD = 4096;
constexpr std::size_t SMALL_FRAME_BYTES = 4 * 1024;
/// Limit of the send buffer for small frames, as a multiple of that for others.
constexpr std::size_t SMALL_FRAME_FACTOR = 2;
constexpr Duration ACCEPT_RETRY_DELAY = std::chrono::milliseconds(50);

long toMilliseconds(Duration duration)
{
    return static_cast<long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

void intrusive_ptr_add_ref(PeerNetworkCore *core)
{
    boost::sp_adl_block::intrusive_ptr_add_ref(core);
}

void intrusive_ptr_release(PeerNetworkCore *core)
{
    boost::sp_adl_block::intrusive_ptr_release(core);
}

PeerNetworkCore::PeerNetworkCore(EventLoop &loop)
    : m_loop(loop)
    , m_acceptor(loop.ioContext())
{
    setUp(m_server);
    setUp(m_client);
}

/// The handlers are copied into each connection; a raw `this` pointer keeps the copies small, and
/// PeerLinkState::core keeps it valid.
template <typename WebSocketEndpoint> void PeerNetworkCore::setUp(WebSocketEndpoint &endpoint)
{
    websocketpp::lib::error_code ignored;
    endpoint.init_asio(&m_loop.ioContext(), ignored);
    applyLimits(endpoint);
    endpoint.set_user_agent("");
    endpoint.set_validate_handler([this](const Hdl &hdl) { return onValidate(hdl); });
    endpoint.set_open_handler([this](const Hdl &hdl) { onOpen(hdl); });
    endpoint.set_message_handler([this](const Hdl &hdl, const Connection::message_ptr &message) {
        onMessage(hdl, message);
    });
    endpoint.set_ping_handler([this](const Hdl &hdl, const std::string &) { return onPing(hdl); });
    endpoint.set_pong_handler([this](const Hdl &hdl, const std::string &) { onPong(hdl); });
}

template <typename WebSocketEndpoint> void PeerNetworkCore::applyLimits(WebSocketEndpoint &endpoint)
{
    endpoint.set_open_handshake_timeout(toMilliseconds(m_limits.connectTimeout));
    endpoint.set_max_message_size(m_limits.frameBytes + MESSAGE_OVERHEAD);
}

PeerNetworkCore::ConnectionPtr PeerNetworkCore::fromHdl(const Hdl &hdl)
{
    return std::static_pointer_cast<Connection>(hdl.lock());
}

RetVal<Endpoint> PeerNetworkCore::listen(const Endpoint &endpoint, const PeerLimits &limits)
{
    if (m_acceptor.is_open() || m_isShutDown) {
        return makeError(ErrorCode::Conflict,
                         "the peer network is already listening or was shut down");
    }
    auto result = openAcceptor(m_acceptor, endpoint);
    if (!result) {
        return result;
    }
    m_limits = limits;
    applyLimits(m_server);
    applyLimits(m_client);
    startAccept();
    return result;
}

void PeerNetworkCore::startAccept()
{
    if (!m_acceptor.is_open()) {
        return;
    }
    m_acceptor.async_accept(
        [core = PeerNetworkCorePtr(this)](const auto &error, tcp::socket socket) {
            core->onAccept(error, std::move(socket));
        });
}

/// websocketpp's own accept loop is not used: it continues at once after an error, so it spins when
/// the process has run out of file descriptors, and it has no connection limit.
void PeerNetworkCore::onAccept(const boost::system::error_code &error, tcp::socket socket)
{
    if (!m_acceptor.is_open()) {
        return;
    }
    if (error) {
        m_loop.callLater(ACCEPT_RETRY_DELAY,
                         [core = PeerNetworkCorePtr(this)] { core->startAccept(); });
        return;
    }
    if (m_connections.size() < m_limits.links) {
        addIncoming(std::move(socket));
    }
    startAccept();
}

void PeerNetworkCore::addIncoming(tcp::socket socket)
{
    const ConnectionPtr connection = m_server.get_connection();
    if (connection) {
        startLink(connection, std::move(socket));
    }
}

void PeerNetworkCore::startLink(const ConnectionPtr &connection, tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    connection->get_raw_socket() = std::move(socket);
    connection->core = PeerNetworkCorePtr(this);
    connection->id = LinkId(++m_lastId);
    connection->lastReceived = m_loop.now();
    connection->lastFrame = connection->lastReceived;
    // The close and fail handlers are not called for a plain HTTP request; this one always is.
    connection->set_termination_handler(
        [this](const ConnectionPtr &ended) { onTerminated(ended); });
    m_connections.emplace(connection->id, connection);
    connection->start();
}

RetVal<LinkId> PeerNetworkCore::connect(const Endpoint &endpoint)
{
    const PeerNetworkCorePtr self(this);
    if (m_isShutDown) {
        return makeError(ErrorCode::Unavailable, "the peer network is shut down");
    }
    const auto open = m_outgoing.find(endpoint);
    if (open != m_outgoing.end()) {
        return open->second;
    }
    if (const auto running = m_attempts.find(endpoint); running != m_attempts.end()) {
        const PeerConnectAttemptPtr attempt = running->second;
        return attempt->wait();
    }
    const PeerConnectAttemptPtr attempt(new PeerConnectAttempt);
    m_attempts.emplace(endpoint, attempt);
    if (const Ret opened = openLink(endpoint); !opened) {
        finishAttempt(endpoint, tl::unexpected<Error>(opened.error()));
    }
    return attempt->wait();
}

Ret PeerNetworkCore::openLink(const Endpoint &endpoint)
{
    if (m_connections.size() + m_attempts.size() > m_limits.links) {
        return makeError(ErrorCode::Throttled, "the link limit is reached");
    }
    auto socket = openSocket(endpoint);
    if (!socket) {
        return tl::unexpected<Error>(socket.error());
    }
    websocketpp::lib::error_code error;
    const ConnectionPtr connection =
        m_client.get_connection("ws://" + endpoint.text() + RESOURCE, error);
    if (error || !connection || m_isShutDown) {
        return makeError(ErrorCode::Unavailable, "failed to open a link to " + endpoint.text());
    }
    connection->isOutgoing = true;
    connection->endpoint = endpoint;
    startLink(connection, std::move(*socket));
    return {};
}

/// websocketpp's own connect is not used: it passes even numeric addresses to a resolver thread.
RetVal<tcp::socket> PeerNetworkCore::openSocket(const Endpoint &endpoint)
{
    const auto target = toTcpEndpoint(endpoint);
    if (!target) {
        return tl::unexpected<Error>(target.error());
    }
    const TcpStreamPtr stream(new TcpStream(tcp::socket(m_loop.ioContext())));
    const TimerId timer = m_loop.callLater(m_limits.connectTimeout, [&] { stream->close(); });
    const auto error = stream->connect(*target);
    m_loop.cancelTimer(timer);
    if (error) {
        return makeError(ErrorCode::Unavailable,
                         "cannot connect to " + endpoint.text() + ": " + error.message());
    }
    return stream->takeSocket();
}

void PeerNetworkCore::finishAttempt(const Endpoint &endpoint, const RetVal<LinkId> &result)
{
    const auto found = m_attempts.find(endpoint);
    if (found == m_attempts.end()) {
        return;
    }
    const PeerConnectAttemptPtr attempt = found->second;
    m_attempts.erase(found);
    attempt->finish(result);
}

bool PeerNetworkCore::onValidate(const Hdl &hdl)
{
    return !m_isShutDown && fromHdl(hdl)->get_resource() == RESOURCE;
}

void PeerNetworkCore::onOpen(const Hdl &hdl)
{
    const ConnectionPtr connection = fromHdl(hdl);
    if (m_connections.count(connection->id) == 0) {
        return;
    }
    connection->isEstablished = true;
    connection->lastReceived = m_loop.now();
    connection->lastFrame = connection->lastReceived;
    ++m_establishedCount;
    startHeartbeat();
    if (connection->isOutgoing) {
        m_outgoing[connection->endpoint] = connection->id;
        finishAttempt(connection->endpoint, connection->id);
    }
}

void PeerNetworkCore::onMessage(const Hdl &hdl, const Connection::message_ptr &message)
{
    const ConnectionPtr connection = fromHdl(hdl);
    if (!connection->isEstablished) {
        return;
    }
    if (message->get_opcode() != websocketpp::frame::opcode::binary) {
        connection->terminate(make_error_code(websocketpp::error::general));
        return;
    }
    connection->lastReceived = m_loop.now();
    connection->lastFrame = connection->lastReceived;
    connection->isPinged = false;
    auto frame = decodeMessage(connection, message->get_payload());
    if (!frame) {
        connection->terminate(make_error_code(websocketpp::error::general));
        return;
    }
    if (m_handler != nullptr) {
        m_handler->onFrame(connection->id, std::move(*frame));
    }
}

RetVal<std::string> PeerNetworkCore::decodeMessage(const ConnectionPtr &connection,
                                                   const std::string &message) const
{
    if (message.empty() || (message.front() != PLAIN && message.front() != COMPRESSED)) {
        return makeError(ErrorCode::InvalidArgument, "the message has an unknown encoding byte");
    }
    std::string frame = message.substr(1);
    if (frame.size() > m_limits.frameBytes) {
        return makeError(ErrorCode::InvalidArgument, "the frame exceeds the size limit");
    }
    if (message.front() == PLAIN) {
        return frame;
    }
    if (!connection->inflater) {
        connection->inflater = std::make_unique<FrameInflater>();
    }
    return connection->inflater->inflate(frame, m_limits.frameBytes);
}

std::string PeerNetworkCore::encodeMessage(const ConnectionPtr &connection,
                                           const std::string &frame)
{
    return connection->deflater ? COMPRESSED + connection->deflater->deflate(frame) : PLAIN + frame;
}

void PeerNetworkCore::enableCompression(LinkId link)
{
    const ConnectionPtr connection = findOpen(link);
    if (connection && !connection->deflater) {
        connection->deflater = std::make_unique<FrameDeflater>();
    }
}

/// Returns whether to send a pong. Otherwise a peer that sends pings without reading the pongs
/// could exhaust the memory.
bool PeerNetworkCore::onPing(const Hdl &hdl)
{
    onPong(hdl);
    return fromHdl(hdl)->get_buffered_amount() < m_limits.sendBufferBytes;
}

void PeerNetworkCore::onPong(const Hdl &hdl)
{
    const ConnectionPtr connection = fromHdl(hdl);
    connection->lastReceived = m_loop.now();
    connection->isPinged = false;
}

void PeerNetworkCore::onTerminated(const ConnectionPtr &connection)
{
    const PeerNetworkCorePtr self(this);
    const bool wasEstablished = connection->isEstablished;
    forget(connection);
    m_connections.erase(connection->id);
    if (wasEstablished) {
        reportLinkDown(connection->id);
    } else if (connection->isOutgoing) {
        finishAttempt(connection->endpoint,
                      makeError(ErrorCode::Unavailable,
                                "failed to open a link to " + connection->endpoint.text() + ": "
                                    + connection->get_ec().message()));
    }
    if (m_connections.empty()) {
        m_shutdownWaiter.wake();
    }
}

/// Removes the connection from the open links, though its closing handshake may continue.
void PeerNetworkCore::forget(const ConnectionPtr &connection)
{
    if (!std::exchange(connection->isEstablished, false)) {
        return;
    }
    --m_establishedCount;
    const auto outgoing = m_outgoing.find(connection->endpoint);
    if (outgoing != m_outgoing.end() && outgoing->second == connection->id) {
        m_outgoing.erase(outgoing);
    }
}

void PeerNetworkCore::reportLinkDown(LinkId link)
{
    if (m_handler != nullptr) {
        m_handler->onLinkDown(link);
    }
}

PeerNetworkCore::ConnectionPtr PeerNetworkCore::findOpen(LinkId link) const
{
    const auto found = m_connections.find(link);
    const bool isOpen = found != m_connections.end() && found->second->isEstablished;
    return isOpen ? found->second : ConnectionPtr();
}

/// Small frames may use a reserve, so that cancels and refusals get past large responses.
std::size_t PeerNetworkCore::sendLimit(const std::string &frame) const
{
    return frame.size() <= SMALL_FRAME_BYTES ? SMALL_FRAME_FACTOR * m_limits.sendBufferBytes
                                             : m_limits.sendBufferBytes;
}

Ret PeerNetworkCore::send(LinkId link, const std::string &frame)
{
    const ConnectionPtr connection = findOpen(link);
    if (!connection) {
        return makeError(ErrorCode::Unavailable, "the link is closed");
    }
    if (frame.size() > m_limits.frameBytes) {
        return makeError(ErrorCode::InvalidArgument, "the frame exceeds the size limit");
    }
    if (connection->get_buffered_amount() + frame.size() > sendLimit(frame)) {
        return makeError(ErrorCode::Throttled, "the send buffer of the link is full");
    }
    const std::string message = encodeMessage(connection, frame);
    const auto error =
        connection->send(message.data(), message.size(), websocketpp::frame::opcode::binary);
    if (error) {
        return makeError(ErrorCode::Unavailable, "the link is closing: " + error.message());
    }
    connection->lastFrame = m_loop.now();
    return {};
}

/// The handler is notified from the loop, never from within its own call.
void PeerNetworkCore::close(LinkId link, Duration timeout)
{
    const ConnectionPtr connection = findOpen(link);
    if (!connection) {
        return;
    }
    forget(connection);
    websocketpp::lib::error_code error;
    connection->set_close_handshake_timeout(toMilliseconds(timeout));
    connection->close(websocketpp::close::status::going_away, "", error);
    m_loop.post([core = PeerNetworkCorePtr(this), link] { core->reportLinkDown(link); });
}

void PeerNetworkCore::shutdown(Duration timeout)
{
    const PeerNetworkCorePtr self(this);
    m_isShutDown = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    std::vector<LinkId> links;
    for (const auto &entry : m_connections) {
        links.push_back(entry.first);
    }
    for (const LinkId link : links) {
        close(link, timeout);
    }
    if (m_connections.empty()) {
        return;
    }
    const TimerId timer = m_loop.callLater(timeout, [this] { m_shutdownWaiter.wake(); });
    m_shutdownWaiter.wait();
    m_loop.cancelTimer(timer);
}

void PeerNetworkCore::abort()
{
    m_handler = nullptr;
    m_isShutDown = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    const auto connections = m_connections;
    for (const auto &entry : connections) {
        entry.second->terminate(make_error_code(websocketpp::error::general));
    }
}

/// The heartbeat runs only while there are links, so that an unused network causes no wake-ups.
void PeerNetworkCore::startHeartbeat()
{
    if (std::exchange(m_hasHeartbeat, true)) {
        return;
    }
    m_lastHeartbeat = m_loop.now();
    m_loop.callLater(m_limits.heartbeatInterval / 2,
                     [core = PeerNetworkCorePtr(this)] { core->onHeartbeat(); });
}

void PeerNetworkCore::onHeartbeat()
{
    const TimePoint now = m_loop.now();
    // After a pause of this process, its timers fire before pending input is read. All peers would
    // appear silent and all links would be closed at once; so they get another heartbeat interval.
    const bool wasPaused = now - m_lastHeartbeat > m_limits.heartbeatInterval;
    const auto connections = m_connections;
    for (const auto &entry : connections) {
        if (wasPaused) {
            entry.second->lastReceived = now;
        }
        m_loop.runGuarded([&] { checkLink(entry.second, now); });
    }
    m_hasHeartbeat = false;
    if (!m_connections.empty()) {
        startHeartbeat();
    }
}

void PeerNetworkCore::checkLink(const ConnectionPtr &connection, TimePoint now)
{
    if (!connection->isEstablished) {
        return;
    }
    const Duration silence = now - connection->lastReceived;
    if (silence >= 2 * m_limits.heartbeatInterval) {
        connection->terminate(make_error_code(websocketpp::error::general));
        return;
    }
    if (connection->isOutgoing && now - connection->lastFrame >= m_limits.idleTimeout) {
        close(connection->id);
        return;
    }
    if (silence >= m_limits.heartbeatInterval && !std::exchange(connection->isPinged, true)) {
        websocketpp::lib::error_code ignored;
        connection->ping("", ignored);
    }
}

} // namespace ivyspar
