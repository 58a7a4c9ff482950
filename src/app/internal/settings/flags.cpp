#include "app/internal/settings/flags.h"

#include <gflags/gflags.h>

// NOLINTBEGIN(readability-identifier-naming): gflags derives these names from the flags.
DEFINE_string(daemon_id, "", "Unique name of this daemon; must stay the same across restarts.");
DEFINE_string(domain, "", "Failure domain of this host, as the inventory names it.");
DEFINE_string(region, "", "Region of this host; if set, the inventory must agree.");
DEFINE_string(caller_listen, "127.0.0.1:7400", "IP:PORT for callers. Port 0 selects a free port.");
DEFINE_string(operator_listen, "127.0.0.1:7401",
              "IP:PORT for operators: /healthz, /status, /metrics.");
DEFINE_bool(
    allow_remote_operator, false,
    "Allows --operator_listen to be other than loopback. The interface has no authentication.");
DEFINE_string(upstream_listen, "127.0.0.1:7402",
              "IP:PORT for the upstream of this host: announcements and its outbound calls.");
DEFINE_bool(allow_remote_upstream, false,
            "Allows --upstream_listen to be other than loopback, for an upstream in a container.");
DEFINE_string(peer_listen, "127.0.0.1:7403", "IP:PORT for other daemons.");
DEFINE_string(peer_advertise, "",
              "IP:PORT at which other daemons reach this one, if not --peer_listen.");
DEFINE_string(seeds, "", "IP:PORT,... of daemons to join; without any, it waits to be contacted.");
DEFINE_string(log_endpoints, "", "IP:PORT,... of the platform's log.");
DEFINE_string(log_retention, "1h",
              "Retention time of records in the platform's log (1min to 8760h).");
DEFINE_string(inventory, "", "Inventory file (TOML).");
DEFINE_string(rules, "", "Rules file (TOML).");
DEFINE_string(heartbeat_timeout, "3s",
              "An upstream without announcements for this long gets no new calls (100ms to 1min).");
DEFINE_string(drain_timeout, "30s",
              "Maximum time for requests in flight to complete at a planned stop (up to 1h).");
DEFINE_uint64(max_connections, 4000, "Maximum number of caller connections.");
DEFINE_uint64(max_header_bytes, 16384, "Maximum size of the headers of a request, in bytes.");
DEFINE_uint64(max_body_bytes, 1048576,
              "Maximum size of the body of a request or response, in bytes.");
DEFINE_uint64(max_pipelined_requests, 1,
              "Maximum number of requests of one caller connection that are handled at a time.");
DEFINE_bool(balance_domains, false,
            "Divides calls between failure domains by their demand and capacity.");
DEFINE_uint64(max_in_flight, 10000, "Maximum number of requests of callers in flight.");
DEFINE_uint64(max_memory_mb, 512,
              "Memory that the daemon may use, in MiB; half of it is for requests and responses.");
DEFINE_string(log_level, "info", "trace, debug, info, warn, error or off.");
DEFINE_string(decision_log, "",
              "File for the decision log, one JSON object per line; - is standard output.");
DEFINE_string(ready_file, "",
              "File to write the listening endpoints to, as JSON, once all are open.");
DEFINE_string(ablate, "",
              "Policies to disable for measurements, not for production: admission, rank, "
              "floor, doomed, budget, retry-tokens, routing, hedging, cancel, odds, fair-shares, "
              "account-shares, lag, turned-away, datagrams, readers, quarantine, limit-homes.");
DEFINE_string(base, "current", "Version number that the change is based on, or current.");
DEFINE_string(timeout, "10s", "Maximum time to wait for a response (100ms to 10min).");
DEFINE_string(change_id, "", "Identifier of this change, to find it again; random if not set.");
DEFINE_bool(restart, false,
            "Starts over: only if neither a daemon nor the log has the current version.");
DEFINE_string(operator, "127.0.0.1:7401", "IP:PORT of the daemon's operator interface.");
DEFINE_string(salt, "", "Salt of the key hashes, as in key_salt of the rules.");
DEFINE_bool(summary, false, "Groups all failed requests by their cause, the largest group first.");
DEFINE_bool(json, false, "Prints the status as JSON, as the daemon sent it.");
// NOLINTEND(readability-identifier-naming)
