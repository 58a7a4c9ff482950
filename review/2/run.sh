#!/usr/bin/env bash
# A request crashes each server that begins to run it and comes again. Its servers are back after 2 s:
# with trouble under the id that they had, else under a new one. It must not reach servers without end.
case=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$case/../lib.sh"
begin

new_ids=1
[ "$trouble" = 0 ] || new_ids=0
start_store
publish '{"version":"00000001","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"shop.example","rules":[{"name":"r-order","route_type":"unsafe","target_latency":"1500ms","priority":0,"match":{"path_prefix":"/order/"},"action":{"service":"cassa","timeout":"6000ms","max_attempts":2}}]}],"clusters":[{"name":"cassa","health_path":"/healthz","max_connections":1990,"protocol":"h1","tls":false},{"name":"catalogo","health_path":"/healthz","max_connections":1522,"protocol":"h1","tls":false}]}'
start_daemon 1 catalogo sala-a
start_daemon 2 cassa sala-a
start_daemon 3 cassa sala-b
start_daemon 4 cassa sala-c
start_server 1 catalogo sala-a
faulty=(--slots=315 --work-ms=95 --deadly-path=/order/deadly --restart-after-ms=2000 --new-ids=$new_ids)
for n in 2 3 4; do
    start_server $n cassa sala-b "${faulty[@]}"
done
await_ready 1 2 3 4
sleep 5

note "clients begin"
orders=(--host=shop.example --method=POST --kind=unsafe --deadline-ms=6000)
clients "${orders[@]}" --entries="$net.1:8304" --path=/order/1 --per-s=50 --for-s=80 &
pids+=($!)
sleep 3
# It comes at the machines of the three servers at the same time: each zone's server crashes. Then it
# comes every 5 s, at two machines in turn.
for n in 2 3 4; do
    clients "${orders[@]}" --entries="$net.$n:8304" --path=/order/deadly --per-s=1 --for-s=1 &
    pids+=($!)
done
sleep 5
clients "${orders[@]}" --entries="$net.1:8304,$net.2:8304" --path=/order/deadly --per-s=0.2 --for-s=70
sleep 3

awk '
    $3 == "sends" { path[$4] = $6; sent[$4] = $1 }
    $3 == "crashes-at" { if (++crashes == 3) third = $1 }
    $3 == "runs" && path[$4] ~ /deadly/ && third && sent[$4] > third + 3 { late++ }
    $3 == "runs" { ran[$4] = 1 }
    $3 == "gets" && $5 ~ /^2/ { served++; delete ran[$4] }
    END {
        for (id in ran) if (path[id] !~ /deadly/) lost++
        printf "crashes of servers %d; served %d; other requests lost while they ran %d\n", \
            crashes, served, lost
        printf "BUDGET: the request reached servers %d times, sent over 3 s after its third crash\n", \
            late
        if (crashes < 3 || served < 1000) exit 2
        exit (late > 3)
    }' "$record"
code=$?
exit $code
