#pragma once

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "app/internal/entry/icallsender.h"
#include "app/internal/gate/igateservice.h"
#include "app/internal/logs/observers.h"
#include "protocol/ipeercodec.h"
#include "state/member.h"
#include "transport/ieventloop.h"
#include "transport/ipeernetwork.h"

namespace ivyspar {

/// Who this daemon is.
struct DaemonIdentity
{
    DaemonId id;
    Incarnation incarnation;
    DomainName domain;
};

/// Matches attempts and answers over the links between daemons, in both directions. Attempts to
/// this daemon itself skip the link. Traffic thread only.
class PeerCalls : public ICallSender, public IPeerHandler
{
public:
    using OnControl = std::function<void(ControlMessage)>;
    using OnUnreachable = std::function<void(DaemonId)>;

    PeerCalls(IEventLoop &loop, IPeerNetwork &network, const IPeerCodec &codec, IGateService &gates,
              Observers observers, DaemonIdentity self);
    ~PeerCalls() override;

    void setMembers(const std::vector<Member> &members);
    /// Control frames that arrive.
    void setOnControl(OnControl onControl) { m_onControl = std::move(onControl); }
    /// A daemon to which no link could be opened, or whose link was lost.
    void setOnUnreachable(OnUnreachable onUnreachable)
    {
        m_onUnreachable = std::move(onUnreachable);
    }

    StreamId send(const DaemonId &target, CallMessage call, OnAnswer onAnswer) override;
    void cancel(StreamId stream) override;

    /// Sends to a daemon by its endpoint; lost without notice when it cannot be reached, but for
    /// `onUnreachable` when `target` is named.
    void sendControl(const DaemonId &target, const Endpoint &endpoint, std::string payload);

    void onFrame(LinkId link, std::string frame) override;
    void onLinkDown(LinkId link) override;

    std::size_t openAttempts() const { return m_attempts.size(); }

private:
    struct Attempt
    {
        DaemonId target;
        LinkId link;
        CallId localCall;
        bool isLocal = false;
        bool isSent = false;
        bool isCancelled = false;
        OnAnswer onAnswer;
    };
    /// A link of ours that is open or being opened, with the frames that wait for it.
    struct Route
    {
        LinkId link;
        DaemonId target;
        bool isOpen = false;
        std::deque<std::pair<StreamId, std::string>> waiting;
    };
    using InboundKey = std::pair<LinkId, StreamId>;

    void compressIfFar(LinkId link, const DomainName &domain);
    void sendLocal(StreamId stream, CallMessage call);
    void sendRemote(StreamId stream, const Endpoint &endpoint, std::string frame);
    void openRoute(const Endpoint &endpoint);
    /// Tells that the way to a peer is open or lost.
    void recordLink(const DaemonId &peer, const char *outcome, const char *reason);
    void flushRoute(const Endpoint &endpoint, LinkId link);
    void failRoute(const Endpoint &endpoint);
    /// Returns the daemon at the link's other end; empty if no route uses the link.
    DaemonId forgetRoute(LinkId link);
    Ret sendFrame(LinkId link, std::string frame);
    void transmit(StreamId stream, LinkId link, std::string frame);
    void end(StreamId stream, AttemptAnswer answer);
    void endWithout(StreamId stream, Outcome outcome, Reason reason);
    void receive(LinkId link, HelloMessage &message);
    void receive(LinkId link, CallMessage &message);
    void receive(LinkId link, ResponseMessage &message);
    void receive(LinkId link, CancelMessage &message);
    void receive(LinkId link, ProbeMessage &message);
    void receive(LinkId link, LoadMessage &message);
    void receive(LinkId link, ControlMessage &message);
    void answerInbound(const InboundKey &key, ResponseMessage answer);

    IEventLoop &m_loop;
    IPeerNetwork &m_network;
    const IPeerCodec &m_codec;
    IGateService &m_gates;
    Observers m_observers;
    DaemonIdentity m_self;
    OnControl m_onControl;
    OnUnreachable m_onUnreachable;
    std::unordered_map<DaemonId, Endpoint> m_endpoints;
    std::map<Endpoint, DomainName> m_domains;
    std::map<Endpoint, Route> m_routes;
    std::unordered_map<StreamId, Attempt> m_attempts;
    std::map<InboundKey, CallId> m_inbound;
    std::uint64_t m_lastStream = 0;
};

} // namespace ivyspar
