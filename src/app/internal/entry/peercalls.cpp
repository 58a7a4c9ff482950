#include "app/internal/entry/peercalls.h"

#include <utility>

namespace ivyspar {

PeerCalls::PeerCalls(IEventLoop &loop, IPeerNetwork &network, const IPeerCodec &codec,
                     IGateService &gates, Observers observers, DaemonIdentity self)
    : m_loop(loop)
    , m_network(network)
    , m_codec(codec)
    , m_gates(gates)
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
        const auto route = m_routes.find(member.peerEndpoint);
        if (route != m_routes.end() && route->second.isOpen) {
            compressIfFar(route->second.link, member.domain);
        }
    }
}

/// Bytes between failure domains are dear, while in the own one the time matters more.
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
        endWithout(stream, Outcome::NotRun, Reason::ConnectFailed);
        return stream;
    }
    sendRemote(stream, endpoint->second, m_codec.encode(PeerMessage(std::move(call))));
    return stream;
}

void PeerCalls::sendLocal(StreamId stream, CallMessage call)
{
    const CallId id = m_gates.handle(std::move(call), CallSource::ThisDaemon,
                                     [this, stream](AnswerMessage answer) {
                                         end(stream, AttemptAnswer{ std::move(answer), true });
                                     });
    const auto found = m_attempts.find(stream);
    if (found != m_attempts.end()) {
        found->second.localCall = id;
        found->second.isSent = true;
    }
}

void PeerCalls::sendRemote(StreamId stream, const Endpoint &endpoint, std::string frame)
{
    Route &route = m_routes[endpoint];
    if (route.isOpen) {
        transmit(stream, route.link, std::move(frame));
        return;
    }
    const bool isFirst = route.waiting.empty();
    const auto attempt = m_attempts.find(stream);
    if (attempt != m_attempts.end()) {
        route.target = attempt->second.target;
    }
    route.waiting.emplace_back(stream, std::move(frame));
    if (isFirst) {
        m_loop.spawn([this, endpoint] { openRoute(endpoint); });
    }
}

void PeerCalls::openRoute(const Endpoint &endpoint)
{
    const RetVal<LinkId> link = m_network.connect(endpoint);
    if (!link) {
        failRoute(endpoint);
        return;
    }
    HelloMessage hello;
    hello.daemon = m_self.id;
    hello.incarnation = m_self.incarnation;
    hello.domain = m_self.domain;
    if (!sendFrame(*link, m_codec.encode(PeerMessage(hello)))) {
        failRoute(endpoint);
        return;
    }
    flushRoute(endpoint, *link);
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

void PeerCalls::flushRoute(const Endpoint &endpoint, LinkId link)
{
    Route &route = m_routes[endpoint];
    route.link = link;
    route.isOpen = true;
    m_observers.metrics.add(Counter::PeerLinksOpened);
    recordLink(route.target, "open", "connected");
    if (const auto domain = m_domains.find(endpoint); domain != m_domains.end()) {
        compressIfFar(link, domain->second);
    }
    auto waiting = std::exchange(route.waiting, {});
    for (auto &[stream, frame] : waiting) {
        transmit(stream, link, std::move(frame));
    }
}

void PeerCalls::failRoute(const Endpoint &endpoint)
{
    const auto found = m_routes.find(endpoint);
    if (found == m_routes.end()) {
        return;
    }
    const Route route = std::move(found->second);
    m_routes.erase(found);
    for (const auto &[stream, frame] : route.waiting) {
        endWithout(stream, Outcome::NotRun, Reason::ConnectFailed);
    }
    recordLink(route.target, "lost", "connect-failed");
    if (m_onUnreachable && !route.target.value().empty()) {
        m_onUnreachable(route.target);
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
        // Cancelled while the link was being opened: nothing left this host.
        endWithout(stream, Outcome::NotRun, Reason::Cancelled);
        return;
    }
    const Ret sent = sendFrame(link, std::move(frame));
    if (!sent) {
        // A new link can be lost before `connect` returns, and then nothing more is heard of it:
        // kept as a route it would fail every later call to that daemon.
        forgetRoute(link);
    }
    if (isControl) {
        return;
    }
    if (!sent) {
        endWithout(stream, Outcome::NotRun, Reason::ConnectFailed);
        return;
    }
    found->second.link = link;
    found->second.isSent = true;
}

DaemonId PeerCalls::forgetRoute(LinkId link)
{
    for (auto route = m_routes.begin(); route != m_routes.end(); ++route) {
        if (route->second.isOpen && route->second.link == link) {
            DaemonId target = route->second.target;
            m_routes.erase(route);
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
    // If the frame cannot be sent the link is about to be reported lost, which ends the attempt.
    (void)sendFrame(found->second.link, m_codec.encode(PeerMessage(CancelMessage{ stream })));
}

void PeerCalls::sendControl(const DaemonId &target, const Endpoint &endpoint, std::string payload)
{
    ControlMessage message;
    message.from = m_self.id;
    message.payload = std::move(payload);
    sendRemote(StreamId(), endpoint, m_codec.encode(PeerMessage(std::move(message))));
    m_routes[endpoint].target = target;
}

void PeerCalls::onFrame(LinkId link, std::string frame)
{
    m_observers.metrics.add(Counter::PeerFramesReceived);
    m_observers.metrics.add(Counter::PeerBytesReceived, frame.size());
    auto message = m_codec.decode(frame);
    if (!message) {
        m_observers.metrics.add(Counter::PeerFramesMalformed);
        // A peer that sends what we cannot read may mean anything by it: with the link gone, each
        // attempt on it ends as unknown instead of waiting for an answer that was misread.
        m_network.close(link);
        return;
    }
    std::visit([this, link](auto &one) { receive(link, one); }, *message);
}

void PeerCalls::onLinkDown(LinkId link)
{
    m_observers.metrics.add(Counter::PeerLinksLost);
    const DaemonId lost = forgetRoute(link);
    std::vector<StreamId> cut;
    for (const auto &[stream, attempt] : m_attempts) {
        if (attempt.isSent && !attempt.isLocal && attempt.link == link) {
            cut.push_back(stream);
        }
    }
    for (const StreamId stream : cut) {
        endWithout(stream, Outcome::Unknown, Reason::LinkLost);
    }
    // Calls that came over this link have nobody left to hear their answer.
    std::vector<CallId> orphans;
    const auto first = m_inbound.lower_bound(InboundKey(link, StreamId(0)));
    for (auto it = first; it != m_inbound.end() && it->first.first == link; ++it) {
        orphans.push_back(it->second);
    }
    for (const CallId call : orphans) {
        m_gates.cancel(call);
    }
    recordLink(lost, "lost", "link-lost");
    if (m_onUnreachable && !lost.value().empty()) {
        m_onUnreachable(lost);
    }
}

void PeerCalls::end(StreamId stream, AttemptAnswer answer)
{
    const auto found = m_attempts.find(stream);
    if (found == m_attempts.end()) {
        return;
    }
    const OnAnswer onAnswer = std::move(found->second.onAnswer);
    m_attempts.erase(found);
    onAnswer(std::move(answer));
}

void PeerCalls::endWithout(StreamId stream, Outcome outcome, Reason reason)
{
    AttemptAnswer answer;
    answer.message.stream = stream;
    answer.message.verdict.outcome = outcome;
    answer.message.verdict.reason = reason;
    end(stream, std::move(answer));
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
    m_inbound.emplace(key, CallId());
    const CallId call =
        m_gates.handle(std::move(message), CallSource::Link, [this, key](AnswerMessage answer) {
            answerInbound(key, std::move(answer));
        });
    const auto found = m_inbound.find(key);
    if (found != m_inbound.end()) {
        found->second = call;
    }
}

void PeerCalls::answerInbound(const InboundKey &key, AnswerMessage answer)
{
    m_inbound.erase(key);
    answer.stream = key.second;
    // A lost link has told the entry already.
    (void)sendFrame(key.first, m_codec.encode(PeerMessage(std::move(answer))));
}

void PeerCalls::receive(LinkId link, AnswerMessage &message)
{
    const auto found = m_attempts.find(message.stream);
    if (found == m_attempts.end() || found->second.isLocal || found->second.link != link) {
        return;
    }
    const StreamId stream = message.stream;
    end(stream, AttemptAnswer{ std::move(message), true });
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
