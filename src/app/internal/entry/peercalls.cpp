#include "app/internal/entry/peercalls.h"

#include <utility>

namespace ivyspar {

namespace {

/// Time after which a call that had no room may be repeated.
constexpr Duration NO_ROOM_RETRY_AFTER = std::chrono::seconds(1);

} // namespace

PeerCalls::PeerCalls(IEventLoop &loop, IPeerNetwork &network, const IPeerCodec &codec,
                     IGateService &gates, IBodyBudget &bodies, Observers observers,
                     DaemonIdentity self)
    : m_loop(loop)
    , m_network(network)
    , m_codec(codec)
    , m_gates(gates)
    , m_bodies(bodies)
    , m_observers(observers)
    , m_self(std::move(self))
{
    m_network.setHandler(this);
}

PeerCalls::~PeerCalls()
{
    m_network.setHandler(nullptr);
}

void PeerCalls::setMembers(const std::vector<Member> &members)
{
    m_endpoints.clear();
    m_domains.clear();
    for (const Member &member : members) {
        m_endpoints.emplace(member.id, member.peerEndpoint);
        m_domains[member.peerEndpoint] = member.domain;
        const auto outbound = m_outboundLinks.find(member.peerEndpoint);
        if (outbound != m_outboundLinks.end() && outbound->second.isOpen) {
            compressIfFar(outbound->second.link, member.domain);
        }
    }
}

/// Traffic between failure domains is costly, while within one the time for compression matters
/// more.
void PeerCalls::compressIfFar(LinkId link, const DomainName &domain)
{
    if (domain != m_self.domain) {
        m_network.enableCompression(link);
    }
}

StreamId PeerCalls::send(const DaemonId &target, CallMessage call, OnAnswer onAnswer)
{
    const StreamId stream(++m_lastStream);
    call.stream = stream;
    Attempt attempt;
    attempt.target = target;
    attempt.isLocal = target == m_self.id;
    attempt.onAnswer = std::move(onAnswer);
    m_attempts.emplace(stream, std::move(attempt));

    if (target == m_self.id) {
        sendLocal(stream, std::move(call));
        return stream;
    }
    const auto endpoint = m_endpoints.find(target);
    if (endpoint == m_endpoints.end()) {
        endWithoutAnswer(stream, Outcome::NotRun, Reason::ConnectFailed);
        return stream;
    }
    sendRemote(stream, endpoint->second, m_codec.encode(PeerMessage(std::move(call))));
    return stream;
}

void PeerCalls::sendLocal(StreamId stream, CallMessage call)
{
    const CallId id = m_gates.handle(
        std::move(call), CallSource::ThisDaemon, [this, stream](ResponseMessage answer) {
            endAttempt(stream, AttemptAnswer{ std::move(answer), true });
        });
    const auto found = m_attempts.find(stream);
    if (found != m_attempts.end()) {
        found->second.localCall = id;
        found->second.isSent = true;
    }
}

void PeerCalls::sendRemote(StreamId stream, const Endpoint &endpoint, std::string frame)
{
    OutboundLink &outbound = m_outboundLinks[endpoint];
    if (outbound.isOpen) {
        transmit(stream, outbound.link, std::move(frame));
        return;
    }
    const bool isFirst = outbound.waiting.empty();
    const auto attempt = m_attempts.find(stream);
    if (attempt != m_attempts.end()) {
        outbound.target = attempt->second.target;
    }
    outbound.waiting.emplace_back(stream, std::move(frame));
    if (isFirst) {
        m_loop.spawn([this, endpoint] { openLink(endpoint); });
    }
}

void PeerCalls::openLink(const Endpoint &endpoint)
{
    const RetVal<LinkId> link = m_network.connect(endpoint);
    if (!link) {
        onLinkFailed(endpoint);
        return;
    }
    HelloMessage hello;
    hello.daemon = m_self.id;
    hello.incarnation = m_self.incarnation;
    hello.domain = m_self.domain;
    if (!sendFrame(*link, m_codec.encode(PeerMessage(hello)))) {
        onLinkFailed(endpoint);
        return;
    }
    onLinkOpened(endpoint, *link);
}

void PeerCalls::recordLink(const DaemonId &peer, const char *outcome, const char *reason)
{
    if (!m_observers.decisions.isEnabled() || peer.value().empty()) {
        return;
    }
    Decision decision;
    decision.kind = DecisionKind::Dependency;
    decision.importance = Importance::Essential;
    decision.choice = peer.value();
    decision.outcome = outcome;
    decision.reason = reason;
    m_observers.decisions.write(std::move(decision));
}

void PeerCalls::onLinkOpened(const Endpoint &endpoint, LinkId link)
{
    OutboundLink &outbound = m_outboundLinks[endpoint];
    outbound.link = link;
    outbound.isOpen = true;
    m_observers.metrics.add(Counter::PeerLinksOpened);
    recordLink(outbound.target, "open", "connected");
    if (const auto domain = m_domains.find(endpoint); domain != m_domains.end()) {
        compressIfFar(link, domain->second);
    }
    auto waiting = std::exchange(outbound.waiting, {});
    for (auto &[stream, frame] : waiting) {
        transmit(stream, link, std::move(frame));
    }
}

void PeerCalls::onLinkFailed(const Endpoint &endpoint)
{
    const auto found = m_outboundLinks.find(endpoint);
    if (found == m_outboundLinks.end()) {
        return;
    }
    const OutboundLink outbound = std::move(found->second);
    m_outboundLinks.erase(found);
    for (const auto &[stream, frame] : outbound.waiting) {
        endWithoutAnswer(stream, Outcome::NotRun, Reason::ConnectFailed);
    }
    recordLink(outbound.target, "lost", "connect-failed");
    if (m_onUnreachable && !outbound.target.value().empty()) {
        m_onUnreachable(outbound.target);
    }
}

Ret PeerCalls::sendFrame(LinkId link, std::string frame)
{
    m_observers.metrics.add(Counter::PeerFramesSent);
    m_observers.metrics.add(Counter::PeerBytesSent, frame.size());
    return m_network.send(link, std::move(frame));
}

void PeerCalls::transmit(StreamId stream, LinkId link, std::string frame)
{
    const auto found = m_attempts.find(stream);
    const bool isControl = stream == StreamId();
    if (!isControl && found == m_attempts.end()) {
        return;
    }
    if (!isControl && found->second.isCancelled) {
        // Cancelled while the link was being opened: nothing was sent.
        endWithoutAnswer(stream, Outcome::NotRun, Reason::Cancelled);
        return;
    }
    const Ret sent = sendFrame(link, std::move(frame));
    if (!sent) {
        // A new link can be lost before `connect` returns, and its loss is then not reported again:
        // if the link were kept, every later call to that daemon would fail.
        removeLink(link);
    }
    if (isControl) {
        return;
    }
    if (!sent) {
        endWithoutAnswer(stream, Outcome::NotRun, Reason::ConnectFailed);
        return;
    }
    found->second.link = link;
    found->second.isSent = true;
}

DaemonId PeerCalls::removeLink(LinkId link)
{
    for (auto outbound = m_outboundLinks.begin(); outbound != m_outboundLinks.end(); ++outbound) {
        if (outbound->second.isOpen && outbound->second.link == link) {
            DaemonId target = outbound->second.target;
            m_outboundLinks.erase(outbound);
            return target;
        }
    }
    return DaemonId();
}

void PeerCalls::cancel(StreamId stream)
{
    const auto found = m_attempts.find(stream);
    if (found == m_attempts.end() || found->second.isCancelled) {
        return;
    }
    found->second.isCancelled = true;
    if (!found->second.isSent) {
        return;
    }
    if (found->second.isLocal) {
        m_gates.cancel(found->second.localCall);
        return;
    }
    // If the frame cannot be sent, the loss of the link is about to be reported and ends the
    // attempt.
    (void)sendFrame(found->second.link, m_codec.encode(PeerMessage(CancelMessage{ stream })));
}

void PeerCalls::sendControl(const DaemonId &target, const Endpoint &endpoint, std::string payload)
{
    ControlMessage message;
    message.from = m_self.id;
    message.payload = std::move(payload);
    sendRemote(StreamId(), endpoint, m_codec.encode(PeerMessage(std::move(message))));
    m_outboundLinks[endpoint].target = target;
}

void PeerCalls::onFrame(LinkId link, std::string frame)
{
    m_observers.metrics.add(Counter::PeerFramesReceived);
    m_observers.metrics.add(Counter::PeerBytesReceived, frame.size());
    auto message = m_codec.decode(frame);
    if (!message) {
        m_observers.metrics.add(Counter::PeerFramesMalformed);
        // The malformed frame may have been an answer: closing the link ends each attempt on it as
        // unknown instead of leaving it waiting.
        m_network.close(link);
        return;
    }
    std::visit([this, link](auto &one) { receive(link, one); }, *message);
}

void PeerCalls::onLinkDown(LinkId link)
{
    m_observers.metrics.add(Counter::PeerLinksLost);
    const DaemonId lost = removeLink(link);
    std::vector<StreamId> lostAttempts;
    for (const auto &[stream, attempt] : m_attempts) {
        if (attempt.isSent && !attempt.isLocal && attempt.link == link) {
            lostAttempts.push_back(stream);
        }
    }
    for (const StreamId stream : lostAttempts) {
        endWithoutAnswer(stream, Outcome::Unknown, Reason::LinkLost);
    }
    // The answers to calls that came over this link can no longer be delivered.
    std::vector<CallId> inboundCalls;
    const auto first = m_inbound.lower_bound(InboundKey(link, StreamId(0)));
    for (auto it = first; it != m_inbound.end() && it->first.first == link; ++it) {
        inboundCalls.push_back(it->second);
    }
    for (const CallId call : inboundCalls) {
        m_gates.cancel(call);
    }
    recordLink(lost, "lost", "link-lost");
    if (m_onUnreachable && !lost.value().empty()) {
        m_onUnreachable(lost);
    }
}

void PeerCalls::endAttempt(StreamId stream, AttemptAnswer answer)
{
    const auto found = m_attempts.find(stream);
    if (found == m_attempts.end()) {
        return;
    }
    const OnAnswer onAnswer = std::move(found->second.onAnswer);
    m_attempts.erase(found);
    onAnswer(std::move(answer));
}

void PeerCalls::endWithoutAnswer(StreamId stream, Outcome outcome, Reason reason)
{
    AttemptAnswer answer;
    answer.message.stream = stream;
    answer.message.verdict.outcome = outcome;
    answer.message.verdict.reason = reason;
    endAttempt(stream, std::move(answer));
}

void PeerCalls::receive(LinkId link, HelloMessage &message)
{
    compressIfFar(link, message.domain);
}

void PeerCalls::receive(LinkId link, CallMessage &message)
{
    const InboundKey key(link, message.stream);
    if (m_inbound.count(key) > 0) {
        m_network.close(link);
        return;
    }
    if (!hold(message.request.body)) {
        ResponseMessage refusal;
        refusal.verdict = { Outcome::NotRun, Reason::QueueFull, NO_ROOM_RETRY_AFTER };
        refusal.unspent = message.granted;
        refusal.load = m_gates.load(message.service);
        answerInbound(key, std::move(refusal));
        return;
    }
    m_inbound.emplace(key, CallId());
    const CallId call =
        m_gates.handle(std::move(message), CallSource::Link, [this, key](ResponseMessage answer) {
            answerInbound(key, std::move(answer));
        });
    const auto found = m_inbound.find(key);
    if (found != m_inbound.end()) {
        found->second = call;
    }
}

bool PeerCalls::hold(HttpBody &body)
{
    if (body.empty()) {
        return true;
    }
    const BodyChargePtr charge = m_bodies.open(MessageKind::Request, {});
    const bool hasRoom = charge->resize(body.size());
    body.setCharge(charge);
    return hasRoom;
}

void PeerCalls::answerInbound(const InboundKey &key, ResponseMessage answer)
{
    m_inbound.erase(key);
    answer.stream = key.second;
    PeerMessage message(std::move(answer));
    const Ret sent = sendFrame(key.first, m_codec.encode(message));
    // If the link is lost, the entry has already been notified.
    if (!sent && sent.error().code != ErrorCode::Unavailable) {
        answerWithoutResponse(key.first, std::get<ResponseMessage>(std::move(message)));
    }
}

/// The response is too large for a frame, or the link's send buffer is full. Without an answer the
/// entry would keep the request, and its caller would wait until the deadline.
void PeerCalls::answerWithoutResponse(LinkId link, ResponseMessage answer)
{
    m_observers.metrics.add(Counter::PeerResponsesUnsent);
    answer.response = {};
    if (answer.verdict.outcome == Outcome::Answered) {
        answer.verdict = { Outcome::Unknown, Reason::BrokenAnswer, Duration::zero() };
    }
    if (!sendFrame(link, m_codec.encode(PeerMessage(std::move(answer))))) {
        m_network.close(link);
    }
}

void PeerCalls::receive(LinkId link, ResponseMessage &message)
{
    const auto found = m_attempts.find(message.stream);
    if (found == m_attempts.end() || found->second.isLocal || found->second.link != link) {
        return;
    }
    message.response.body.setCharge(
        m_bodies.adopt(MessageKind::Response, message.response.body.size()));
    const StreamId stream = message.stream;
    endAttempt(stream, AttemptAnswer{ std::move(message), true });
}

void PeerCalls::receive(LinkId link, CancelMessage &message)
{
    const auto found = m_inbound.find(InboundKey(link, message.stream));
    if (found != m_inbound.end()) {
        m_gates.cancel(found->second);
    }
}

void PeerCalls::receive(LinkId link, ProbeMessage &message)
{
    LoadMessage load;
    load.stream = message.stream;
    load.service = message.service;
    load.load = m_gates.load(message.service);
    (void)sendFrame(link, m_codec.encode(PeerMessage(load)));
}

void PeerCalls::receive(LinkId /*link*/, LoadMessage & /*message*/) { }

void PeerCalls::receive(LinkId /*link*/, ControlMessage &message)
{
    if (m_onControl) {
        m_onControl(std::move(message));
    }
}

} // namespace ivyspar
