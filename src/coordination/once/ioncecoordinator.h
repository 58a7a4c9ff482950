#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/once/claimrecords.h"
#include "state/http.h"
#include "state/ids.h"
#include "state/outcome.h"
#include "state/time.h"

namespace ivyspar {

/// Hash of a request's method, target and body. Reusing a key with a different fingerprint is an
/// error of the caller.
using RequestFingerprint = StrongType<std::uint64_t, struct RequestFingerprintTag>;
RequestFingerprint makeFingerprint(const HttpRequest &request);

/// One attempt of a request that has to run at most once.
struct OnceRequest
{
    CallId call;
    RuleName rule;
    IdempotencyKey key;
    RequestFingerprint fingerprint;
    /// The call is not started after this. Must leave time to send the refusal.
    TimePoint deadline;
};

/// Result of an attempt. `Answered` carries the whole response, of this run or a stored one.
struct OnceReply
{
    CallId call;
    Verdict verdict;
    HttpResponse response;
    /// The daemon that may know the result, for `KeyBusy` and `KeyHolderGone`.
    DaemonId holder;
};

using AppendId = StrongType<std::uint64_t, struct AppendIdTag>;

struct ClaimAppend
{
    AppendId id;
    ClaimBatch batch;
};

struct ClaimRead
{
    LogOffset from;
    std::uint32_t maxRecords = 0;
};

enum class AppendFailure {
    NotAppended, ///< Certain, as after `Unavailable` or `Throttled`.
    Unknown, ///< It may have been appended, or may still be appended later.
};

struct ClaimRecord
{
    LogOffset offset;
    /// Empty when the record is not a claim batch.
    std::optional<ClaimBatch> batch;
};

struct ClaimPage
{
    /// The oldest offset that the log retains.
    LogOffset first;
    /// The offset that the next append will get; may be behind, as replicas answer reads.
    LogOffset end;
    std::vector<ClaimRecord> records;
};

/// What the caller of a coordinator or ticket registry has to do after an event.
struct OnceActions
{
    /// Append to the claim stream; report the result with `appendDone` or `appendFailed`.
    std::optional<ClaimAppend> append;
    /// Read from the claim stream; report the result with `recordsRead` or `readFailed`.
    std::optional<ClaimRead> read;
    /// Calls that may be sent to the upstream, each only after `start` has returned true.
    std::vector<CallId> proceed;
    std::vector<OnceReply> replies;
    /// Latest time to call `tick`.
    TimePoint wakeAt;
};

/// Runs calls with an idempotency key at most once, on the daemon that executes them. Does no I/O
/// and reads no clock; not thread-safe.
/// Each request gets either one reply or one `proceed`. After `proceed` the caller reports the end
/// of the attempt with `finished`, `notRun` or `cancel`, and gets no reply for it.
class IOnceCoordinator
{
public:
    virtual ~IOnceCoordinator() = default;

    virtual OnceActions request(TimePoint now, const OnceRequest &request) = 0;
    /// Must be called in the same event-loop step that sends the first byte to the upstream.
    /// Returns false if it is too late, for example after the process was suspended: nothing may be
    /// sent, and `notRun` must follow.
    virtual bool start(TimePoint now, CallId call) = 0;
    /// The result that the attempt's caller receives: a response, or a verdict of `Unknown`.
    virtual OnceActions finished(TimePoint now, CallId call, const Verdict &verdict,
                                 const HttpResponse &response) = 0;
    /// The upstream is known not to have started the call.
    virtual OnceActions notRun(TimePoint now, CallId call) = 0;
    /// The caller gave up. A call that was not started ends without a reply; for one that was
    /// started, `finished` or `notRun` must still follow.
    virtual OnceActions cancel(TimePoint now, CallId call) = 0;

    virtual OnceActions appendDone(TimePoint now, AppendId id, LogOffset offset) = 0;
    virtual OnceActions appendFailed(TimePoint now, AppendId id, AppendFailure failure) = 0;
    virtual OnceActions recordsRead(TimePoint now, const ClaimPage &page) = 0;
    virtual OnceActions readFailed(TimePoint now) = 0;

    /// The incarnation of a daemon that is alive; none if it is dead or has left.
    virtual void setMember(const DaemonId &daemon, std::optional<Incarnation> incarnation) = 0;
    virtual OnceActions tick(TimePoint now) = 0;
};

} // namespace ivyspar
