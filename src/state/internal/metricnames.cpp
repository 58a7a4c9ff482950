#include "state/internal/metricnames.h"

namespace ivyspar {

namespace {

// In the order of the enumerations.
constexpr MetricDescription COUNTERS[] = {
    { "ivyspar_attempts_total", "kind=\"first\"", "Attempts sent, by kind." },
    { "ivyspar_attempts_total", "kind=\"retry\"", "" },
    { "ivyspar_attempts_total", "kind=\"hedge\"", "" },
    { "ivyspar_hedges_won_total", "", "Hedges that answered before the attempt they doubled." },
    { "ivyspar_cancels_total", "", "Attempts that were cancelled." },
    { "ivyspar_gate_calls_total", "verdict=\"started\"", "Calls at the gate, by verdict." },
    { "ivyspar_gate_calls_total", "verdict=\"refused\"", "" },
    { "ivyspar_gate_objectives_total", "result=\"met\"",
      "Calls that the upstream answered, by whether their latency objective was met." },
    { "ivyspar_gate_objectives_total", "result=\"missed\"", "" },
    { "ivyspar_gate_late_starts_total", "",
      "Calls started too late to be expected to meet their latency objective." },
    { "ivyspar_gate_displacements_total", "",
      "Queued calls that were refused for a new call of a higher priority." },
    { "ivyspar_server_sends_total", "kind=\"first\"",
      "Sends of calls to servers of this host; a repeat follows a rejection by the server." },
    { "ivyspar_server_sends_total", "kind=\"repeat\"", "" },
    { "ivyspar_server_rejections_total", "",
      "Sends that servers of this host rejected before they ran the call." },
    { "ivyspar_foreign_responses_total", "",
      "Responses of servers of this host to other requests than the one in progress." },
    { "ivyspar_server_crashes_total", "", "Servers of this host that ended without a word." },
    { "ivyspar_notice_changes_total", "",
      "Changes of what servers of this host state about themselves." },
    { "ivyspar_notices_malformed_total", "", "Responses with a malformed rate limit." },
    { "ivyspar_load_statements_total", "result=\"read\"",
      "Responses in which servers of this host state their load, by what became of it." },
    { "ivyspar_load_statements_total", "result=\"malformed\"", "" },
    { "ivyspar_load_statements_total", "result=\"ignored\"", "" },
    { "ivyspar_quarantines_total", "", "Requests found to crash the servers that run them." },
    { "ivyspar_limit_refusals_total", "", "Requests beyond the limit of their client account." },
    { "ivyspar_account_share_refusals_total", "",
      "Requests beyond the share of their client account in a full service." },
    { "ivyspar_account_messages_total", "", "Messages sent to count limits of client accounts." },
    { "ivyspar_crossing_calls_total", "by=\"share\"",
      "Attempts sent to another failure domain, by what decided it." },
    { "ivyspar_crossing_calls_total", "by=\"spill\"", "" },
    { "ivyspar_balance_messages_total", "",
      "Messages sent to balance calls between failure domains." },
    { "ivyspar_claims_total", "result=\"won\"", "Claims of idempotency keys, by result." },
    { "ivyspar_claims_total", "result=\"lost\"", "" },
    { "ivyspar_claims_total", "result=\"unsettled\"", "" },
    { "ivyspar_log_appends_total", "", "Appends to the platform's log." },
    { "ivyspar_log_append_failures_total", "", "Appends that failed or had no answer." },
    { "ivyspar_log_reads_total", "", "Reads of the platform's log." },
    { "ivyspar_log_read_failures_total", "", "Reads that failed or had no answer." },
    { "ivyspar_peer_frames_total", "direction=\"sent\"", "Frames on peer links, by direction." },
    { "ivyspar_peer_frames_total", "direction=\"received\"", "" },
    { "ivyspar_peer_frames_malformed_total", "", "Frames that could not be read." },
    { "ivyspar_peer_bytes_total", "direction=\"sent\"",
      "Bytes on peer links before compression, by direction." },
    { "ivyspar_peer_bytes_total", "direction=\"received\"", "" },
    { "ivyspar_peer_responses_unsent_total", "",
      "Responses for other daemons that did not fit into a frame or a link's send buffer." },
    { "ivyspar_peer_links_opened_total", "", "Peer links that this daemon opened." },
    { "ivyspar_peer_links_lost_total", "", "Peer links that ended unplanned." },
    { "ivyspar_datagrams_total", "direction=\"sent\"", "Datagrams between daemons, by direction." },
    { "ivyspar_datagrams_total", "direction=\"received\"", "" },
    { "ivyspar_datagrams_malformed_total", "", "Datagrams that could not be read." },
    { "ivyspar_datagram_bytes_total", "direction=\"sent\"", "Bytes of datagrams, by direction." },
    { "ivyspar_datagram_bytes_total", "direction=\"received\"", "" },
    { "ivyspar_control_by_link_total", "",
      "Control messages too long for a datagram, sent over links." },
    { "ivyspar_malformed_requests_total", "", "HTTP requests that could not be read." },
    { "ivyspar_connections_refused_total", "", "Connections past the limit." },
    { "ivyspar_pipelined_starts_total", "",
      "Requests started before earlier ones of their connection were answered." },
    { "ivyspar_pipelined_waits_total", "cause=\"turn\"",
      "Responses that waited for an earlier one, and requests that waited, by cause." },
    { "ivyspar_pipelined_waits_total", "cause=\"order\"", "" },
    { "ivyspar_pipelined_waits_total", "cause=\"limit\"", "" },
    { "ivyspar_configuration_records_total", "verdict=\"accepted\"",
      "Records of the configuration stream, by verdict." },
    { "ivyspar_configuration_records_total", "verdict=\"rejected\"", "" },
    { "ivyspar_log_lines_dropped_total", "", "Lines of this daemon's logs that were dropped." },
    { "ivyspar_uncaught_exceptions_total", "",
      "Exceptions that ended a task of this daemon; each is a fault of it." },
    { "ivyspar_responses_undelivered_total", "",
      "Responses that did not reach a caller who was still there." },
    { "ivyspar_messages_dropped_total", "kind=\"request\"",
      "Messages dropped because the memory for requests and responses was used up." },
    { "ivyspar_messages_dropped_total", "kind=\"response\"", "" },
};

constexpr MetricDescription GAUGES[] = {
    { "ivyspar_requests_in_flight", "", "Requests of callers being worked on." },
    { "ivyspar_gate_in_flight", "", "Calls that the upstream works on." },
    { "ivyspar_gate_queued", "", "Calls that wait at the gate." },
    { "ivyspar_gate_queued_on_time", "",
      "Calls that wait at the gate and can still meet their latency objective." },
    { "ivyspar_gate_limit", "", "Concurrency limit of the gate." },
    { "ivyspar_gate_floor_priority", "", "Lowest priority that the gate admits." },
    { "ivyspar_gate_rate_limit_thousandths", "",
      "Rate limit that the server states, in thousandths of a request per second; -1: none." },
    { "ivyspar_gate_send_rate_thousandths", "",
      "Requests sent to the server, in thousandths of a request per second." },
    { "ivyspar_gate_server_speed_thousandths", "",
      "Lowest speed of a server by its own statement, in thousandths of the usual one; -1: none." },
    { "ivyspar_caller_connections", "", "Open connections of callers." },
    { "ivyspar_pipelined_requests", "",
      "Unanswered requests that were started before their turn." },
    { "ivyspar_pipelined_bytes", "", "Bytes held and reserved for these requests." },
    { "ivyspar_message_bytes", "kind=\"request\"",
      "Bytes of requests and responses held by this daemon." },
    { "ivyspar_message_bytes", "kind=\"response\"", "" },
    { "ivyspar_peer_links", "", "Open links to other daemons." },
    { "ivyspar_active_accounts", "",
      "Client accounts that compete for capacity, once for each service and priority." },
    { "ivyspar_suspect_requests", "", "Requests that may have crashed a server." },
    { "ivyspar_quarantined_requests", "", "Requests kept from servers that they would crash." },
    { "ivyspar_members", "", "Daemons known to be alive, this one included." },
    { "ivyspar_configuration_version", "", "Version in force; 0 for none." },
    { "ivyspar_configuration_age_seconds", "", "Time since the version in force was learned." },
    { "ivyspar_balance_news_age_ms", "",
      "Age of the oldest sums of a failure domain in use, in ms; -1: none." },
};

constexpr MetricDescription TIMINGS[] = {
    { "ivyspar_request_duration_seconds", "", "From a caller's request to its answer." },
    { "ivyspar_added_duration_seconds", "", "Time of a request outside its upstream." },
    { "ivyspar_upstream_duration_seconds", "", "Time that the upstream took for a call." },
    { "ivyspar_gate_wait_seconds", "", "Time that a call waited at the gate." },
    { "ivyspar_read_lag_seconds", "", "How late this daemon read a request or call, at most." },
    { "ivyspar_log_append_duration_seconds", "", "Time of an append to the platform's log." },
    { "ivyspar_log_read_duration_seconds", "", "Time of a read of the platform's log." },
};

static_assert(std::size(COUNTERS) == countOf<Counter>());
static_assert(std::size(GAUGES) == countOf<Gauge>());
static_assert(std::size(TIMINGS) == countOf<Timing>());

} // namespace

const MetricDescription &descriptionOf(Counter counter)
{
    return COUNTERS[static_cast<std::size_t>(counter)];
}

const MetricDescription &descriptionOf(Gauge gauge)
{
    return GAUGES[static_cast<std::size_t>(gauge)];
}

const MetricDescription &descriptionOf(Timing timing)
{
    return TIMINGS[static_cast<std::size_t>(timing)];
}

} // namespace ivyspar
