#pragma once

#include <gflags/gflags_declare.h>

// The gflags definitions for all subcommands. Each subcommand lists the flags that it accepts.
DECLARE_string(daemon_id);
DECLARE_string(domain);
DECLARE_string(region);
DECLARE_string(caller_listen);
DECLARE_string(operator_listen);
DECLARE_bool(allow_remote_operator);
DECLARE_string(upstream_listen);
DECLARE_bool(allow_remote_upstream);
DECLARE_string(peer_listen);
DECLARE_string(peer_advertise);
DECLARE_string(seeds);
DECLARE_string(log_endpoints);
DECLARE_string(log_retention);
DECLARE_string(inventory);
DECLARE_string(rules);
DECLARE_string(heartbeat_timeout);
DECLARE_string(drain_timeout);
DECLARE_uint64(max_connections);
DECLARE_uint64(max_header_bytes);
DECLARE_uint64(max_body_bytes);
DECLARE_uint64(max_pipelined_requests);
DECLARE_bool(balance_domains);
DECLARE_uint64(max_in_flight);
DECLARE_uint64(max_memory_mb);
DECLARE_string(log_level);
DECLARE_string(decision_log);
DECLARE_string(ready_file);
DECLARE_string(ablate);
DECLARE_string(base);
DECLARE_string(timeout);
DECLARE_string(change_id);
DECLARE_bool(restart);
DECLARE_string(operator);
DECLARE_string(salt);
DECLARE_bool(summary);
DECLARE_bool(json);
