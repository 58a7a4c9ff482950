#include "app/internal/control/statusdocument.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace ivyspar {

namespace {

using Json = nlohmann::json;

const char *toText(MemberHealth health)
{
    switch (health) {
    case MemberHealth::Alive:
        return "alive";
    case MemberHealth::Suspect:
        return "suspect";
    case MemberHealth::Dead:
        return "dead";
    case MemberHealth::Left:
        return "left";
    }
    return "dead";
}

Json makeUpstream(const UpstreamInfo &upstream)
{
    return Json{ { "service", upstream.service.value() },
                 { "slots", upstream.slots },
                 { "connections", upstream.connections },
                 { "draining", upstream.draining } };
}

Json makeMember(const MemberStatus &status)
{
    const Member &member = status.member;
    Json upstreams = Json::array();
    for (const UpstreamInfo &upstream : member.upstreams) {
        upstreams.push_back(makeUpstream(upstream));
    }
    return Json{
        { "id", member.id.value() },          { "incarnation", member.incarnation.value() },
        { "domain", member.domain.value() },  { "peer", member.peerEndpoint.text() },
        { "health", toText(status.health) },  { "leaving", member.leaving },
        { "upstreams", std::move(upstreams) }
    };
}

Json makeStatedLoad(const StatedLoadStatus &status)
{
    Json document{ { "running", status.load.running },
                   { "waiting", status.load.waiting },
                   { "slots", status.load.slots },
                   { "age_ms", toMillis(status.age) } };
    if (status.load.workTime) {
        document["work_time_percent"] = status.load.workTime->value();
        document["unchanged_s"] = toSeconds(status.unchangedFor);
    }
    if (status.heededSpeed != SpeedShare()) {
        document["heeded_speed"] = toRatio(status.heededSpeed);
        document["heeded_other_calls"] = status.otherCalls;
    }
    return document;
}

Json makeGate(const GateStatus &gate)
{
    const LoadReport &load = gate.load;
    Json document{ { "service", gate.service.value() },
                   { "in_flight", load.inFlight },
                   { "queued", load.queued },
                   { "queued_on_time", gate.queuedOnTime },
                   { "limit", load.limit },
                   { "floor", load.floor.value() },
                   { "draining", load.draining },
                   { "run", gate.notice.run.value() },
                   { "leaving", gate.notice.isLeaving },
                   { "sends_per_s", gate.sendsPerSecond } };
    document["rate_limit_per_s"] =
        gate.notice.rateLimit ? Json(toPerSecond(*gate.notice.rateLimit)) : Json();
    document["stated_load"] = gate.stated ? makeStatedLoad(*gate.stated) : Json();
    return document;
}

Json makeConfigurationStatus(const ConfigurationStatus &status)
{
    return Json{ { "in_force", status.inForce.value() },
                 { "accepted", status.accepted.value() },
                 { "change_id", status.changeId },
                 { "unreadable", status.unreadable },
                 { "judging", status.hasLogState },
                 { "follows_log", status.isFastPoller },
                 { "next_offset", status.nextOffset.value() },
                 { "anchor", status.anchor.value() },
                 { "log_error", status.logError },
                 { "snapshots_written", status.snapshotsAppended } };
}

Json makeSuspect(const SuspectStatus &suspect)
{
    Json runs = Json::array();
    for (const Crash &crash : suspect.record.crashes) {
        runs.push_back({ { "run", crash.run.value() },
                         { "service", crash.kind.service.value() },
                         { "version", crash.kind.version.value() },
                         { "alone", crash.wasIsolated },
                         { "trial", crash.isTrial } });
    }
    return Json{ { "fingerprint", suspect.record.fingerprint.value() },
                 { "standing", toText(suspect.assessment.suspicion) },
                 { "crashes", suspect.assessment.crashes },
                 { "first_s_ago", toSeconds(suspect.firstAge) },
                 { "last_s_ago", toSeconds(suspect.lastAge) },
                 { "runs", runs } };
}

/// Limits the list: a crash makes all requests in flight suspects, most of which are cleared soon.
Json makeSuspects(const std::vector<SuspectStatus> &suspects)
{
    constexpr std::size_t MAX_LISTED = 50;
    Json list = Json::array();
    for (const SuspectStatus &suspect : suspects) {
        if (list.size() >= MAX_LISTED) {
            break;
        }
        list.push_back(makeSuspect(suspect));
    }
    return list;
}

/// Accounts that exceed their limit come first.
Json makeAccounts(const std::vector<AccountStatus> &accounts)
{
    constexpr std::size_t MAX_LISTED = 20;
    Json list = Json::array();
    for (const AccountStatus &each : accounts) {
        if (list.size() >= MAX_LISTED) {
            break;
        }
        list.push_back({ { "account", each.account.value() },
                         { "rate_limit", each.limit.rate },
                         { "burst_limit", each.limit.burst },
                         { "asked_per_s", each.rate },
                         { "refused_per_s", each.refused },
                         { "home", each.isHome },
                         { "on_lease", each.isOnLease } });
    }
    return list;
}

Json makeBalance(const BalanceStatus &status)
{
    Json domains = Json::array();
    for (const DomainWork &each : status.domains) {
        const auto share =
            std::find_if(status.shares.begin(), status.shares.end(),
                         [&each](const DomainShare &one) { return one.domain == each.domain; });
        domains.push_back(
            { { "domain", each.domain.value() },
              { "demand", each.demand },
              { "capacity", each.capacity },
              { "share", share == status.shares.end() ? Json() : Json(share->share) } });
    }
    return Json{ { "service", status.service.value() }, { "domains", std::move(domains) } };
}

Json makeAccountShares(const std::vector<AccountShareStatus> &shares)
{
    Json list = Json::array();
    for (const AccountShareStatus &each : shares) {
        list.push_back({ { "account", each.account.value() },
                         { "service", each.bottleneck.value() },
                         { "priority", each.priority.value() },
                         { "demand_slots", each.demandSlots },
                         { "admitted_slots", each.admittedSlots },
                         { "fair_slots", each.fairSlots } });
    }
    return list;
}

} // namespace

std::string makeStatusDocument(const DaemonStatus &status)
{
    Json document;
    document["id"] = status.self.id.value();
    document["incarnation"] = status.self.incarnation.value();
    document["domain"] = status.self.domain.value();
    document["leaving"] = status.isLeaving;
    document["configuration_version"] =
        status.configuration ? status.configuration->version.value() : 0;
    document["has_configuration"] = status.configuration != nullptr;
    document["configuration"] = makeConfigurationStatus(status.configurationStatus);
    document["members"] = Json::array();
    for (const MemberStatus &member : status.members) {
        document["members"].push_back(makeMember(member));
    }
    document["gates"] = Json::array();
    for (const GateStatus &gate : status.traffic.gates) {
        document["gates"].push_back(makeGate(gate));
    }
    document["suspects"] = makeSuspects(status.traffic.suspects);
    document["suspect_count"] = status.traffic.suspects.size();
    document["accounts"] = makeAccounts(status.traffic.accounts);
    document["account_shares"] = makeAccountShares(status.traffic.accountShares);
    document["account_count"] = status.traffic.accounts.size();
    document["balance"] = Json::array();
    for (const BalanceStatus &service : status.traffic.balance.services) {
        document["balance"].push_back(makeBalance(service));
    }
    const std::optional<Duration> newsAge = status.traffic.balance.newsAge;
    document["balance_news_ms"] = newsAge ? Json(toMillis(*newsAge)) : Json();
    document["requests_in_flight"] = status.traffic.requests;
    document["calls_in_flight"] = status.traffic.calls;
    document["links"] = status.traffic.links;
    document["caller_connections"] = status.traffic.callerConnections;
    document["pipelined_requests"] = status.traffic.pipelines.inProgress;
    document["pipelined_bytes"] = status.traffic.pipelines.bytes;
    document["request_bytes"] = status.traffic.requestBodies.bytes;
    document["response_bytes"] = status.traffic.responseBodies.bytes;
    document["message_bytes_limit"] =
        status.traffic.requestBodies.limit + status.traffic.responseBodies.limit;
    // Change ids come from the log: invalid UTF-8 in one must not fail the whole response.
    return document.dump(2, ' ', false, Json::error_handler_t::replace) + '\n';
}

} // namespace ivyspar
