#include "app/internal/control/controlrecorder.h"

#include <string>
#include <utility>

namespace ivyspar {

namespace {

Decision makeDecision(DecisionKind kind, std::string choice, const char *outcome)
{
    Decision decision;
    decision.kind = kind;
    decision.importance = Importance::Essential;
    decision.choice = std::move(choice);
    decision.outcome = outcome;
    return decision;
}

} // namespace

ControlRecorder::ControlRecorder(Observers observers)
    : m_observers(observers)
{
}

void ControlRecorder::recordMembers(const std::vector<Member> &members)
{
    m_observers.metrics.set(Gauge::Members, static_cast<std::int64_t>(members.size()));
    std::set<DaemonId> memberIds;
    for (const Member &member : members) {
        memberIds.insert(member.id);
        if (m_memberIds.count(member.id) == 0) {
            recordMember(member.id, "joined", members.size());
        }
    }
    for (const DaemonId &known : m_memberIds) {
        if (memberIds.count(known) == 0) {
            recordMember(known, "left", members.size());
        }
    }
    m_memberIds = std::move(memberIds);
}

void ControlRecorder::recordMember(const DaemonId &daemon, const char *outcome, std::size_t count)
{
    Decision decision = makeDecision(DecisionKind::Membership, daemon.value(), outcome);
    decision.inputs = { { "members", static_cast<double>(count) } };
    m_observers.decisions.write(std::move(decision));
}

void ControlRecorder::recordConfiguration(ConfigurationVersion version,
                                          const ConfigurationOrigin &origin)
{
    m_observers.metrics.set(Gauge::ConfigurationVersion,
                            static_cast<std::int64_t>(version.value()));
    Decision decision =
        makeDecision(DecisionKind::Configuration, std::to_string(version.value()), "in-force");
    decision.detail = origin.source;
    if (origin.unconfirmed) {
        decision.inputs = { { "unconfirmed_ms", toMillis(*origin.unconfirmed) } };
    }
    m_observers.decisions.write(std::move(decision));
}

void ControlRecorder::recordLogContact(const LogContact &contact)
{
    Decision decision =
        makeDecision(DecisionKind::Dependency, "log", contact.isLost ? "lost" : "regained");
    decision.inputs = { { "read_ms", toMillis(contact.took) } };
    if (contact.silent) {
        decision.inputs.push_back({ "silent_ms", toMillis(*contact.silent) });
    }
    decision.detail = contact.error;
    m_observers.decisions.write(std::move(decision));
}

} // namespace ivyspar
