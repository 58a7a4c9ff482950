#include "app/internal/control/configurationpublisher.h"

#include <algorithm>
#include <chrono>

#include "app/internal/control/configurationfollower.h"
#include "coordination/configuration/configurationdigest.h"
#include "coordination/configuration/configurationstatemachinefactory.h"
#include "protocol/internal/configurationrecordcodec.h"

namespace ivyspar {

namespace {

constexpr std::uint32_t PAGE_RECORDS = 64;
/// Delay between attempts while the result is open.
constexpr Duration RETRY_DELAY = std::chrono::milliseconds(100);
/// Timeout of a long poll for the record of the change. An append that the log did not acknowledge
/// is repeated after it.
constexpr Duration RESULT_WAIT = std::chrono::milliseconds(500);

/// A version above all earlier ones: each change adds one, and there is less than one change per
/// millisecond.
ConfigurationVersion restartVersion()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return ConfigurationVersion(static_cast<std::uint64_t>(milliseconds));
}

} // namespace

ConfigurationPublisher::ConfigurationPublisher(const PublishSettings &settings, IEventLoop &loop,
                                               ILogService &log)
    : m_settings(settings)
    , m_loop(loop)
    , m_log(log)
    , m_stateMachine(makeConfigurationStateMachine())
    , m_deadline(loop.now() + settings.timeout)
{
}

PublishResult ConfigurationPublisher::publish()
{
    if (prepare()) {
        while (!isDecided() && isTimeLeft()) {
            if (!m_isAppended) {
                appendOnce();
            }
            readToEnd(RESULT_WAIT);
            decide();
            if (!isDecided()) {
                pause();
            }
        }
    }
    if (!isDecided() && m_mayBeAppended) {
        finish(PublishResult::Kind::Unknown,
               "the change may have been made: its record was not found in the log in time");
    }
    if (!isDecided()) {
        finish(PublishResult::Kind::NotSent,
               m_logError.empty() ? "timed out before the change was sent" : m_logError);
    }
    return *m_result;
}

bool ConfigurationPublisher::isTimeLeft() const
{
    return m_loop.now() < m_deadline;
}

void ConfigurationPublisher::pause()
{
    m_loop.sleepFor(std::clamp(m_deadline - m_loop.now(), Duration::zero(), RETRY_DELAY));
}

/// Reads to the end of the log; only the first read waits, for up to `wait`. Returns false on an
/// error, or when time is up.
bool ConfigurationPublisher::readToEnd(Duration wait)
{
    while (isTimeLeft() && !isDecided()) {
        const Duration limit = std::min(wait, m_deadline - m_loop.now());
        const RetVal<LogPage> page = m_log.read(StreamName(CONFIGURATION_STREAM),
                                                m_stateMachine->nextOffset(), PAGE_RECORDS, limit);
        if (!page) {
            m_logError = "the log cannot be read: " + page.error().text;
            return false;
        }
        m_logError.clear();
        applyPage(*page);
        if (page->records.empty()) {
            return true;
        }
        wait = Duration::zero();
    }
    return false;
}

void ConfigurationPublisher::applyPage(const LogPage &page)
{
    m_isHistoryComplete = m_isHistoryComplete && page.first <= m_stateMachine->nextOffset();
    m_stateMachine->truncateBefore(page.first);
    for (const LogRecord &record : page.records) {
        const RetVal<ConfigurationRecord> decoded = decodeConfigurationRecord(record.payload);
        if (!decoded) {
            m_stateMachine->skip(record.offset);
            continue;
        }
        const ApplyResult result = m_stateMachine->apply(record.offset, *decoded);
        const AcceptedConfiguration *logState = m_stateMachine->logState();
        const bool isSuccessor = m_base && logState && !m_successor && logState->version > *m_base;
        if (isSuccessor) {
            m_successor = *logState;
        }
        if (decoded->kind != ConfigurationRecord::Kind::Snapshot) {
            recordOwnResult(decoded->changeId, result,
                            logState ? logState->version : ConfigurationVersion());
        }
        for (const DeferredResult &deferred : m_stateMachine->takeDeferredResults()) {
            recordOwnResult(deferred.changeId, deferred.result, deferred.version);
        }
    }
}

/// Copies of one change may have different results; an accepted copy decides for all.
void ConfigurationPublisher::recordOwnResult(const std::string &changeId, ApplyResult result,
                                             ConfigurationVersion version)
{
    const bool isFinal = result == ApplyResult::Accepted || result == ApplyResult::Conflict
        || result == ApplyResult::Malformed;
    if (changeId != m_settings.changeId || !isFinal || m_ownApplyResult == ApplyResult::Accepted) {
        return;
    }
    m_ownApplyResult = result;
    m_ownVersion = version;
}

/// Reads the log and chooses the base. Returns false if the outcome is decided or time is up.
bool ConfigurationPublisher::prepare()
{
    while (isTimeLeft()) {
        if (!readToEnd(Duration::zero())) {
            pause();
            continue;
        }
        decide();
        if (isDecided()) {
            return false;
        }
        if (chooseBase()) {
            return !isDecided();
        }
        pause();
    }
    return false;
}

/// Returns false while the records read so far do not suffice.
bool ConfigurationPublisher::chooseBase()
{
    const AcceptedConfiguration *logState = m_stateMachine->logState();
    if (m_settings.isRestart) {
        if (logState) {
            finish(PublishResult::Kind::NotSent,
                   "the log holds the current version; publish without --restart");
        }
        m_base = restartVersion();
        return true;
    }
    if (!logState) {
        m_logError =
            "the log was truncated past the current version. A daemon that holds it appends "
            "a snapshot shortly; if no daemon is left, start over with --restart";
        return false;
    }
    if (m_settings.base && *m_settings.base > logState->version) {
        m_logError = "the log shows version " + std::to_string(logState->version.value())
            + " as the newest, and not yet the base " + std::to_string(m_settings.base->value());
        return false;
    }
    // The repeated change may have been accepted and its record truncated since. A second copy with
    // the old base cannot be accepted; with a new base the change would be made twice.
    if (m_settings.isRepeat && !m_settings.base && !m_isHistoryComplete) {
        finish(PublishResult::Kind::Unknown,
               "older records were truncated, so this change may already have been accepted; "
               "repeat the command with the --base that was printed with its id");
        return true;
    }
    m_base = m_settings.base.value_or(logState->version);
    if (*m_base < logState->version) {
        m_successor = *logState;
        finishConflict();
    }
    return true;
}

void ConfigurationPublisher::appendOnce()
{
    const RetVal<std::string> payload = encodeConfigurationRecord(makeRecord());
    if (!payload) {
        finish(PublishResult::Kind::NotSent, payload.error().text);
        return;
    }
    const RetVal<LogOffset> offset = m_log.append(StreamName(CONFIGURATION_STREAM), *payload);
    m_isAppended = offset.has_value();
    m_mayBeAppended = m_mayBeAppended || offset || offset.error().code == ErrorCode::Unknown;
    if (offset) {
        return;
    }
    m_logError = "the change cannot be appended to the log: " + offset.error().text;
    if (offset.error().code == ErrorCode::InvalidArgument && !m_mayBeAppended) {
        finish(PublishResult::Kind::NotSent, m_logError);
    }
}

ConfigurationRecord ConfigurationPublisher::makeRecord() const
{
    ConfigurationRecord record;
    record.kind = m_settings.isRestart ? ConfigurationRecord::Kind::Restart
                                       : ConfigurationRecord::Kind::Change;
    record.changeId = m_settings.changeId;
    record.base = *m_base;
    record.inventory = m_settings.text.inventory;
    record.rules = m_settings.text.rules;
    record.digest = configurationDigest(record.inventory, record.rules);
    return record;
}

/// Sets the outcome if the records read so far decide it.
void ConfigurationPublisher::decide()
{
    if (isDecided()) {
        return;
    }
    // The snapshot of a version contains the id of the change that created it.
    const AcceptedConfiguration *current = m_stateMachine->current();
    const bool isCurrent = current && current->changeId == m_settings.changeId;
    if (isCurrent || m_ownApplyResult == ApplyResult::Accepted) {
        finish(PublishResult::Kind::Accepted, {});
        m_result->version =
            m_ownApplyResult == ApplyResult::Accepted ? m_ownVersion : current->version;
        return;
    }
    // Another change with the same base was accepted: this one cannot be accepted any more, even if
    // its record is still in flight.
    if (m_ownApplyResult == ApplyResult::Conflict || m_successor) {
        finishConflict();
    }
}

void ConfigurationPublisher::finish(PublishResult::Kind kind, const std::string &text)
{
    m_result.emplace();
    m_result->kind = kind;
    m_result->text = text;
    if (m_base) {
        m_result->base = m_base;
    }
}

void ConfigurationPublisher::finishConflict()
{
    finish(PublishResult::Kind::Conflict, "another change was accepted first");
    const AcceptedConfiguration *current = m_stateMachine->current();
    if (m_successor) {
        m_result->winner = *m_successor;
    } else if (current) {
        m_result->winner = *current;
    }
}

} // namespace ivyspar
