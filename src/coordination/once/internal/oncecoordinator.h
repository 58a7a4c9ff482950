#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/once/internal/outcomecache.h"
#include "coordination/once/oncefactory.h"

namespace ivyspar {

class OnceCoordinator : public IOnceCoordinator
{
public:
    OnceCoordinator(TimePoint now, const DaemonId &self, Incarnation incarnation,
                    std::uint64_t hashSeed, const OnceOptions &options);

    OnceActions request(TimePoint now, const OnceRequest &request) override;
    bool start(TimePoint now, CallId call) override;
    OnceActions finished(TimePoint now, CallId call, const Verdict &verdict,
                         const HttpResponse &response) override;
    OnceActions notRun(TimePoint now, CallId call) override;
    OnceActions cancel(TimePoint now, CallId call) override;
    OnceActions appendDone(TimePoint now, AppendId id, LogOffset offset) override;
    OnceActions appendFailed(TimePoint now, AppendId id, AppendFailure failure) override;
    OnceActions recordsRead(TimePoint now, const ClaimPage &page) override;
    OnceActions readFailed(TimePoint now) override;
    void setMember(const DaemonId &daemon, std::optional<Incarnation> incarnation) override;
    OnceActions tick(TimePoint now) override;

private:
    using TrackedKeyId = std::uint64_t;

    struct Attempt
    {
        CallId call;
        TimePoint deadline;
    };

    enum class Stage {
        Claiming, ///< The result of the claim is not known yet.
        Granted, ///< The claim was the first; one attempt may run or is running.
        Done, ///< The outcome is stored.
    };

    /// State of one idempotency key with all attempts that use it on this daemon.
    struct TrackedKey
    {
        RuleName rule;
        IdempotencyKey key;
        RequestFingerprint fingerprint;
        Stage stage = Stage::Claiming;
        std::vector<Attempt> waiters;
        std::optional<Attempt> grantedAttempt;
        bool isStarted = false;

        std::uint64_t nonce = 0;
        /// How often the claim was sent.
        std::uint32_t claimCopies = 0;
        /// When the claim was first sent.
        std::optional<TimePoint> firstSent;
        bool isQueued = false;
        bool isInFlight = false;
        /// An append of the claim succeeded or had an unknown result.
        bool mayBeInLog = false;
        /// When an append of the claim last ended with an unknown result.
        std::optional<TimePoint> uncertainSince;
    };

    /// A claim whose call will never run; released if it appears in the log.
    struct AbandonedClaim
    {
        RuleName rule;
        IdempotencyKey key;
        TimePoint since;
        bool isReleasePending = false;
        /// The release was appended below this offset; nothing to do until the log is read up to
        /// it.
        LogOffset releaseEnd;
    };

    struct InFlightAppend
    {
        AppendId id;
        std::vector<ClaimEntry> entries;
        TimePoint sent;
    };

    // Attempts and their results.
    std::optional<OnceReply> refuseEarly(TimePoint now, const OnceRequest &request) const;
    std::optional<OnceReply> refuseIfHeld(const OnceRequest &request) const;
    OnceActions join(TrackedKey &tracked, TrackedKeyId id, const OnceRequest &request);
    void addWaiter(TrackedKeyId id, TrackedKey &tracked, const OnceRequest &request);
    void grantNext(TimePoint now, TrackedKeyId id, OnceActions &actions);
    void refuseAll(TrackedKey &tracked, const Verdict &verdict, const DaemonId &holder,
                   OnceActions &actions);
    void dropKey(TimePoint now, TrackedKeyId id);
    void abandonClaim(TimePoint now, const TrackedKey &tracked);
    void removeWaiter(TrackedKey &tracked, CallId call);
    void expireWaiters(TimePoint now, OnceActions &actions);
    void expireKeys(TimePoint now, OnceActions &actions);
    OnceReply heldKeyReply(CallId call, const ClaimHolder &holder) const;
    bool isHolderGone(const ClaimHolder &holder) const;
    TrackedKey *findByCall(CallId call, TrackedKeyId &id);

    // The claim log (oncecoordinatorlog.cpp).
    void queueClaim(TrackedKey &tracked);
    void requeueUncertainClaims(TimePoint readIssued);
    void applyDecision(TimePoint now, const ClaimDecision &decision, OnceActions &actions);
    void findStartOffset(TimePoint now, const ClaimPage &page);
    void applyPage(TimePoint now, const ClaimPage &page, OnceActions &actions);
    void skipTruncatedRecords(TimePoint now, LogOffset first, OnceActions &actions);
    void refuseQueuedClaims(TimePoint now, OnceActions &actions);
    void queueReleases(TimePoint now);
    void queueRelease(std::uint64_t nonce, AbandonedClaim &abandoned);
    void append(TimePoint now, OnceActions &actions);
    void read(TimePoint now, OnceActions &actions);
    bool isLogDown(TimePoint now) const;
    /// Common last step of all events: adds the append and the read that are due, and the wake
    /// time.
    OnceActions withLogActions(TimePoint now, OnceActions actions);

    const OnceOptions m_options;
    const DaemonId m_self;
    const Incarnation m_incarnation;
    std::unique_ptr<IClaimTable> m_table;
    OutcomeCache m_outcomeCache;

    std::uint64_t m_lastNonce = 0;
    TrackedKeyId m_lastTrackedKeyId = 0;
    std::map<TrackedKeyId, TrackedKey> m_trackedKeys;
    std::map<std::pair<RuleName, IdempotencyKey>, TrackedKeyId> m_byKey;
    std::unordered_map<std::uint64_t, TrackedKeyId> m_byNonce;
    std::unordered_map<CallId, TrackedKeyId> m_byCall;
    std::set<std::pair<TimePoint, CallId>> m_deadlines;
    /// When granted keys are removed, in order of time.
    std::deque<std::pair<TimePoint, TrackedKeyId>> m_expiry;
    std::map<std::uint64_t, AbandonedClaim> m_abandonedClaims;
    /// Nonces of abandoned claims that may be active in the log now.
    std::set<std::uint64_t> m_releaseCandidates;
    std::unordered_map<DaemonId, std::optional<Incarnation>> m_members;

    std::deque<ClaimEntry> m_appendQueue;
    std::optional<InFlightAppend> m_inFlightAppend;
    std::uint64_t m_lastAppend = 0;
    TimePoint m_nextAppend;
    std::optional<TimePoint> m_readSent;
    TimePoint m_nextRead;
    /// End of the newest append of this daemon; reading continues without idling up to it.
    LogOffset m_awaitedEnd;
    TimePoint m_logDownUntil;

    enum class StartSearch {
        FindingEnd, ///< The end of the stream is not known yet.
        ReadingLastRecord, ///< The last record is read to get its horizon.
        Found,
    };
    StartSearch m_startSearch = StartSearch::FindingEnd;
    LogOffset m_lastRecordOffset;
    LogOffset m_firstKeptOffset;
};

} // namespace ivyspar
