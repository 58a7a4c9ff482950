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
#include "coordination/memory/ibodybudget.h"
#include "protocol/ipeercodec.h"
#include "state/member.h"
#include "transport/ieventloop.h"
#include "transport/ipeernetwork.h"

namespace ivyspar {

/// Identity of this daemon.
struct DaemonIdentity
{
    DaemonId id;
    Incarnation incarnation;
    DomainName domain;
};

/// Sends attempts and answers over the links between daemons, in both directions, and matches them
/// by stream id. Attempts to this daemon itself bypass the links. Traffic thread only.
class PeerCalls : public ICallSender, public IPeerHandler
{
public:
    using OnControl = std::function<void(ControlMessage)>;
    using OnUnreachable = std::function<void(DaemonId)>;

    /// `bodies` counts the messages that arrive over links.
    PeerCalls(IEventLoop &loop, IPeerNetwork &network, const IPeerCodec &codec, IGateService &gates,
              IBodyBudget &bodies, Observers observers, DaemonIdentity self);
    ~PeerCalls() override;

    void setMembers(const std::vector<Member> &members);
    /// Called with each control message that arrives.
    void setOnControl(OnControl onControl) { m_onControl = std::move(onControl); }
    /// Called with a daemon to which no link could be opened, or whose link was lost.
    void setOnUnreachable(OnUnreachable onUnreachable)
    {
        m_onUnreachable = std::move(onUnreachable);
    }

    StreamId send(const DaemonId &target, CallMessage call, OnAnswer onAnswer) override;
    void cancel(StreamId stream) override;

    /// Sends a control message to the daemon at the endpoint. If that cannot be reached the message
    /// is lost, which is only reported by `onUnreachable`, and only if `target` is not empty.
    void sendControl(const DaemonId &target, const Endpoint &endpoint, std::string payload);

    void onFrame(LinkId link, std::string frame) override;
    void onLinkDown(LinkId link) override;

    /// Number of attempts that have not ended.
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
    /// A link that this daemon is opening or has opened, with the frames that wait for it.
    struct OutboundLink
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
    void openLink(const Endpoint &endpoint);
    /// Logs that the link to a peer was opened or lost.
    void recordLink(const DaemonId &peer, const char *outcome, const char *reason);
    void onLinkOpened(const Endpoint &endpoint, LinkId link);
    void onLinkFailed(const Endpoint &endpoint);
    /// Removes the link if this daemon opened it, and returns the daemon at its other end; empty if
    /// there is none.
    DaemonId removeLink(LinkId link);
    Ret sendFrame(LinkId link, std::string frame);
    void transmit(StreamId stream, LinkId link, std::string frame);
    void endAttempt(StreamId stream, AttemptAnswer answer);
    void endWithoutAnswer(StreamId stream, Outcome outcome, Reason reason);
    /// Counts the body of a request; false if there is no room for it.
    bool hold(HttpBody &body);
    void receive(LinkId link, HelloMessage &message);
    void receive(LinkId link, CallMessage &message);
    void receive(LinkId link, ResponseMessage &message);
    void receive(LinkId link, CancelMessage &message);
    void receive(LinkId link, ProbeMessage &message);
    void receive(LinkId link, LoadMessage &message);
    void receive(LinkId link, ControlMessage &message);
    void answerInbound(const InboundKey &key, ResponseMessage answer);
    void answerWithoutResponse(LinkId link, ResponseMessage answer);

    IEventLoop &m_loop;
    IPeerNetwork &m_network;
    const IPeerCodec &m_codec;
    IGateService &m_gates;
    IBodyBudget &m_bodies;
    Observers m_observers;
    DaemonIdentity m_self;
    OnControl m_onControl;
    OnUnreachable m_onUnreachable;
    std::unordered_map<DaemonId, Endpoint> m_endpoints;
    std::map<Endpoint, DomainName> m_domains;
    std::map<Endpoint, OutboundLink> m_outboundLinks;
    std::unordered_map<StreamId, Attempt> m_attempts;
    std::map<InboundKey, CallId> m_inbound;
    std::uint64_t m_lastStream = 0;
};

} // namespace ivyspar
