#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "app/internal/logs/observers.h"
#include "app/internal/quarantine/iquarantine.h"
#include "coordination/quarantine/isuspecttable.h"
#include "coordination/quarantine/suspectarchive.h"
#include "coordination/quarantine/suspectgossip.h"
#include "state/irandom.h"
#include "state/member.h"
#include "transport/ieventloop.h"

namespace ivyspar {

/// A record of the table of suspects, for operators.
struct SuspectStatus
{
    SuspectRecord record;
    Assessment assessment;
    /// Time since the first crash in the record, and since the last one.
    Duration firstAge{ 0 };
    Duration lastAge{ 0 };
};

struct QuarantineOptions
{
    /// If false, no request is ever suspected; for measurements.
    bool isOn = true;
    /// Updates within this time are sent together.
    Duration flushDelay = std::chrono::milliseconds(1);
    /// Interval between comparisons with other daemons, while `SuspectGossip::needsComparison`.
    Duration compareInterval = std::chrono::milliseconds(300);
    SuspectTableOptions table;
};

/// Owns this daemon's table of suspects and replicates it. Traffic thread only.
class QuarantineService : public IQuarantine
{
public:
    /// Sends a control payload to another daemon. Delivery is not guaranteed.
    using Send = std::function<void(DaemonId, std::string)>;

    QuarantineService(IEventLoop &loop, IRandom &random, Observers observers, Send send,
                      const QuarantineOptions &options);
    ~QuarantineService() override;

    void setMembers(const DaemonId &self, const std::vector<Member> &members);
    /// Handles a payload of the suspect exchange; ignores payloads that cannot be decoded.
    void receive(const DaemonId &from, const std::string &payload);
    /// Lifts the quarantine of the fingerprint. False if there is no record of it.
    bool lift(const Fingerprint &fingerprint);
    /// Called when there are records that the store lacks, after a crash of a server of this host.
    void setOnUnsaved(std::function<void()> onUnsaved) { m_onUnsaved = std::move(onUnsaved); }
    /// Merges all records of the store. Returns what is to be written there.
    SuspectStoreChanges syncStore(const std::vector<SuspectRecord> &stored);
    /// Records of requests that are still suspects, the most severe first.
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
    void reportUnsaved();
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
    SuspectArchive m_archive;
    std::function<void()> m_onUnsaved;
    /// Requests that were in progress when a server of this host crashed.
    std::set<Fingerprint> m_crashedHere;
    bool m_mayBeUnsaved = false;
    ISuspectListener *m_listener = nullptr;
    std::set<ServerKind> m_servers;
    /// Requests whose quarantine has been logged, and whose end has not.
    std::set<Fingerprint> m_quarantined;
    TimerId m_flushTimer;
    TimerId m_compareTimer;
    bool m_isFlushArmed = false;
    bool m_isCompareArmed = false;
};

} // namespace ivyspar
