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

/// Hash of what a caller asked for (method, target, body). A key that comes back with another
/// fingerprint is a caller's mistake.
using RequestFingerprint = StrongType<std::uint64_t, struct RequestFingerprintTag>;
RequestFingerprint makeFingerprint(const HttpRequest &request);

/// One attempt that is to run at most once.
struct OnceRequest
{
    CallId call;
    RuleName rule;
    IdempotencyKey key;
    RequestFingerprint fingerprint;
    /// Nothing is started after this. Leave time to send the refusal.
    TimePoint deadline;
};

/// The end of an attempt. `Answered` comes with the whole answer, of this run or a stored one.
struct OnceReply
{
    CallId call;
    Verdict verdict;
    HttpResponse response;
    /// The daemon that can know the result, for `KeyBusy` and `KeyHolderGone`.
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
    NotAppended, ///< Proved: `Unavailable`, `Throttled`.
    Unknown, ///< It may have been appended, or be appended later.
};

struct ClaimRecord
{
    LogOffset offset;
    /// Empty when the record is not a claim batch.
    std::optional<ClaimBatch> batch;
};

struct ClaimPage
{
    /// The oldest offset that the log still keeps.
    LogOffset first;
    /// The offset that the next append will get, as far as known.
    LogOffset end;
    std::vector<ClaimRecord> records;
};

struct OnceActions
{
    /// Append to the claim stream; to be answered by `appendDone` or `appendFailed`.
    std::optional<ClaimAppend> append;
    /// Read from the claim stream; to be answered by `recordsRead` or `readFailed`.
    std::optional<ClaimRead> read;
    /// Calls that may go to the upstream, each after asking `start`.
    std::vector<CallId> proceed;
    std::vector<OnceReply> replies;
    /// When to call `tick` at the latest.
    TimePoint wakeAt;
};

/// Runs calls with an idempotency key at most once, on the daemon that executes them. Plain object.
/// For each request there is one reply, or one `proceed`; after `proceed` the attempt's end is
/// reported by `finished`, `notRun` or `cancel`, and gets no reply from here.
class IOnceCoordinator
{
public:
    virtual ~IOnceCoordinator() = default;

    virtual OnceActions request(TimePoint now, const OnceRequest &request) = 0;
    /// To be asked in the same step in which the first byte is sent to the upstream. False when the
    /// attempt came too late, as after a freeze: nothing may be sent, and `notRun` is to follow.
    virtual bool start(TimePoint now, CallId call) = 0;
    /// The attempt's end as its caller is told: an answer, or a verdict of `Unknown`.
    virtual OnceActions finished(TimePoint now, CallId call, const Verdict &verdict,
                                 const HttpResponse &response) = 0;
    /// Proof that the upstream did not start the call.
    virtual OnceActions notRun(TimePoint now, CallId call) = 0;
    /// The caller gave up. A call that was not started ends here, without a reply; for one that was
    /// started, `finished` or `notRun` still has to follow.
    virtual OnceActions cancel(TimePoint now, CallId call) = 0;

    virtual OnceActions appendDone(TimePoint now, AppendId id, LogOffset offset) = 0;
    virtual OnceActions appendFailed(TimePoint now, AppendId id, AppendFailure failure) = 0;
    virtual OnceActions recordsRead(TimePoint now, const ClaimPage &page) = 0;
    virtual OnceActions readFailed(TimePoint now) = 0;

    /// The incarnation of a daemon that is alive, or none when it is dead or left.
    virtual void setMember(const DaemonId &daemon, std::optional<Incarnation> incarnation) = 0;
    virtual OnceActions tick(TimePoint now) = 0;
};

} // namespace ivyspar
