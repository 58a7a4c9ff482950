#pragma once

#include <memory>
#include <optional>
#include <string>

#include "app/publish.h"
#include "coordination/configuration/iconfigurationstatemachine.h"
#include "transport/ieventloop.h"
#include "transport/ilogservice.h"

namespace ivyspar {

/// What became of a change.
struct PublishResult
{
    enum class Kind {
        Accepted,
        Conflict, ///< Another change came first; this one never takes effect.
        NotSent, ///< Proof that nothing was appended.
        Unknown, ///< It may have been, or may still be, appended.
    };
    Kind kind = Kind::NotSent;
    /// Accepted: the version that the change made.
    ConfigurationVersion version;
    /// The version that the change is based on; none if nothing was appended.
    std::optional<ConfigurationVersion> base;
    /// Conflict: the version that came first, if the log still has it, else the newest one.
    AcceptedConfiguration winner;
    /// Why, when it was not accepted.
    std::string text;
};

/// Appends one change and finds out its verdict by reading the stream.
///
/// An append may be repeated without harm: a change is accepted only if its base is the current
/// version, and a version is current only once in the life of the stream. Of any number of copies
/// of one change with one base at most one is accepted, however late they take effect.
class ConfigurationPublisher
{
public:
    ConfigurationPublisher(const PublishSettings &settings, IEventLoop &loop, ILogService &log);

    /// Suspends the calling fiber until the verdict is known or the time is up.
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
    /// The log said that it took an append.
    bool m_isAppended = false;
    /// An append may have taken effect.
    bool m_mayBeAppended = false;
    /// The stream was read from its very beginning.
    bool m_isHistoryComplete = true;
    std::string m_logError;
};

} // namespace ivyspar
