#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "app/internal/logs/observers.h"
#include "app/internal/quarantine/iquarantine.h"
#include "coordination/quarantine/isuspecttable.h"
#include "coordination/quarantine/suspectgossip.h"
#include "state/irandom.h"
#include "state/member.h"
#include "transport/ieventloop.h"

namespace ivyspar {

/// One record of suspects, for operators.
struct SuspectStatus
{
    SuspectRecord record;
    Assessment assessment;
    /// Since the first crash, and since the last.
    Duration firstAge{ 0 };
    Duration lastAge{ 0 };
};

struct QuarantineOptions
{
    /// Off, for measurements: no request is ever suspected.
    bool isOn = true;
    /// News of one moment are sent together.
    Duration flushDelay = std::chrono::milliseconds(1);
    /// Between comparisons with other daemons, while there is anything to compare.
    Duration compareInterval = std::chrono::milliseconds(300);
    SuspectTableOptions table;
};

/// Keeps the table of suspects of this daemon and spreads what it learns. Traffic thread only.
class QuarantineService : public IQuarantine
{
public:
    /// Sends a control payload to another daemon. May be lost.
    using Send = std::function<void(DaemonId, std::string)>;

    QuarantineService(IEventLoop &loop, IRandom &random, Observers observers, Send send,
                      const QuarantineOptions &options);
    ~QuarantineService() override;

    void setMembers(const DaemonId &self, const std::vector<Member> &members);
    /// A payload of the exchange of suspects.
    void receive(const DaemonId &from, const std::string &payload);
    /// Lifts the quarantine of the fingerprint. False if nothing is known of it.
    bool lift(const Fingerprint &fingerprint);
    /// Those that still count as suspects, the most severe first.
    std::vector<SuspectStatus> status() const;

    bool hasSuspects() const override;
    Assessment assess(const Fingerprint &fingerprint) const override;
    Assessment assess(const Fingerprint &fingerprint, const ServerKind &kind) const override;
    void recordCrash(const Fingerprint &fingerprint, const Crash &crash) override;
    void recordCompletion(const Fingerprint &fingerprint, const ServerKind &kind) override;
    void recordServer(const ServerKind &kind) override;
    void setListener(ISuspectListener *listener) override { m_listener = listener; }

private:
    void onLocalUpdate(const Fingerprint &fingerprint);
    void onChanged(const Fingerprint &fingerprint);
    void addUntriedKinds(const Fingerprint &fingerprint);
    void logQuarantineChange(const Fingerprint &fingerprint);
    void armFlush();
    void armCompare();
    void compare();
    void sendAll(const OutgoingSuspectMessages &sends);

    IEventLoop &m_loop;
    Observers m_observers;
    Send m_send;
    QuarantineOptions m_options;
    std::unique_ptr<ISuspectTable> m_table;
    SuspectGossip m_gossip;
    ISuspectListener *m_listener = nullptr;
    std::set<ServerKind> m_servers;
    /// Those that the log says are in quarantine.
    std::set<Fingerprint> m_quarantined;
    TimerId m_flushTimer;
    TimerId m_compareTimer;
    bool m_isFlushArmed = false;
    bool m_isCompareArmed = false;
};

} // namespace ivyspar
