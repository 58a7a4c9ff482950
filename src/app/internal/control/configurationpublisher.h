#pragma once

#include <memory>
#include <optional>
#include <string>

#include "app/publish.h"
#include "coordination/configuration/iconfigurationstatemachine.h"
#include "transport/ieventloop.h"
#include "transport/ilogservice.h"

namespace ivyspar {

/// Outcome of publishing a change.
struct PublishResult
{
    enum class Kind {
        Accepted,
        Conflict, ///< Another change with the same base was accepted first; this one never will be.
        NotSent, ///< Certainly not appended to the log.
        Unknown, ///< May have been appended, or may still be.
    };
    Kind kind = Kind::NotSent;
    /// Accepted: the version that the change created.
    ConfigurationVersion version;
    /// The version that the change is based on; none if nothing was appended.
    std::optional<ConfigurationVersion> base;
    /// Conflict: the version that was accepted on the same base, if the log still has it, else the
    /// newest one.
    AcceptedConfiguration winner;
    /// Reason why the change was not accepted; empty if it was.
    std::string text;
};

/// Appends one change and determines its result by reading the stream.
///
/// Repeating an append is safe: a change is accepted only if its base is the current version, and a
/// version is current only once in the lifetime of the stream. Of any number of copies of a change
/// with the same base at most one is accepted, however late they arrive.
class ConfigurationPublisher
{
public:
    ConfigurationPublisher(const PublishSettings &settings, IEventLoop &loop, ILogService &log);

    /// Suspends the calling fiber until the result is known or the timeout has passed. Call once.
    PublishResult publish();

private:
    bool isTimeLeft() const;
    void pause();
    bool readToEnd(Duration wait);
    void applyPage(const LogPage &page);
    void recordOwnResult(const std::string &changeId, ApplyResult result,
                         ConfigurationVersion version);

    bool prepare();
    bool chooseBase();
    void appendOnce();
    ConfigurationRecord makeRecord() const;
    bool isDecided() const { return m_result.has_value(); }
    void decide();
    void finish(PublishResult::Kind kind, const std::string &text);
    void finishConflict();

    const PublishSettings &m_settings;
    IEventLoop &m_loop;
    ILogService &m_log;
    std::unique_ptr<IConfigurationStateMachine> m_stateMachine;
    TimePoint m_deadline;
    std::optional<PublishResult> m_result;
    std::optional<ConfigurationVersion> m_base;
    /// The first version that was accepted on top of `m_base`, once seen.
    std::optional<AcceptedConfiguration> m_successor;
    std::optional<ApplyResult> m_ownApplyResult;
    ConfigurationVersion m_ownVersion;
    /// The log acknowledged an append.
    bool m_isAppended = false;
    /// An append was acknowledged, or its outcome is unknown.
    bool m_mayBeAppended = false;
    /// No record of the stream was truncated before it was read.
    bool m_isHistoryComplete = true;
    std::string m_logError;
};

} // namespace ivyspar
