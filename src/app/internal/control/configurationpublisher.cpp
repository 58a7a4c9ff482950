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
/// Between two tries while the log refuses or cannot be reached.
constexpr Duration RETRY_DELAY = std::chrono::milliseconds(100);
/// For how long the log may hold back its answer while the change's record is awaited. An append
/// that was not seen after this time is sent again.
constexpr Duration RESULT_WAIT = std::chrono::milliseconds(500);

/// A version above all that ever were: changes add one each, and there are fewer than one each
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
               "the change may have been made: its verdict was not found in time");
    }
    if (!isDecided()) {
        finish(PublishResult::Kind::NotSent, m_logError.empty() ? "no time left" : m_logError);
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

/// Reads until the log has nothing newer; for that it may wait once. False on an error.
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

/// Copies of one change may get different verdicts; one that was accepted counts for all.
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

/// Reads what is there and chooses the base. False if that decided the outcome or time is up.
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

/// False while the stream does not show enough yet.
bool ConfigurationPublisher::chooseBase()
{
    const AcceptedConfiguration *logState = m_stateMachine->logState();
    if (m_settings.isRestart) {
        if (logState) {
            finish(PublishResult::Kind::NotSent,
                   "the log knows the current version; publish without --restart");
        }
        m_base = restartVersion();
        return true;
    }
    if (!logState) {
        m_logError = "the log has forgotten too much to tell the current version. A daemon that "
                     "knows it writes it again shortly; if none is left, begin anew with --restart";
        return false;
    }
    if (m_settings.base && *m_settings.base > logState->version) {
        m_logError = "the log shows version " + std::to_string(logState->version.value())
            + " as the newest, and not yet the base " + std::to_string(m_settings.base->value());
        return false;
    }
    // The repeated change may have been made, and its record forgotten since. With its old base a
    // second copy could not win; with a new one it would be made twice.
    if (m_settings.isRepeat && !m_settings.base && !m_isHistoryComplete) {
        finish(PublishResult::Kind::Unknown,
               "older records are gone, so this change may have been made already; repeat it with "
               "the --base that was printed with its id");
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
    m_logError = "the log does not take the change: " + offset.error().text;
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

/// Ends with the outcome if what was read decides it.
void ConfigurationPublisher::decide()
{
    if (isDecided()) {
        return;
    }
    // The snapshot of a version tells the change that made it.
    const AcceptedConfiguration *current = m_stateMachine->current();
    const bool isCurrent = current && current->changeId == m_settings.changeId;
    if (isCurrent || m_ownApplyResult == ApplyResult::Accepted) {
        finish(PublishResult::Kind::Accepted, {});
        m_result->version =
            m_ownApplyResult == ApplyResult::Accepted ? m_ownVersion : current->version;
        return;
    }
    // Another change took the place of this one's base: this one can no longer win, even if its
    // record is still on the way.
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
    finish(PublishResult::Kind::Conflict, "another change came first");
    const AcceptedConfiguration *current = m_stateMachine->current();
    if (m_successor) {
        m_result->winner = *m_successor;
    } else if (current) {
        m_result->winner = *current;
    }
}

} // namespace ivyspar
