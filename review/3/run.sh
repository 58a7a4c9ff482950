#!/usr/bin/env bash
# The operator adds a route for all paths of a host. Clients then buy with POST /tickets. What they get
# as success must be the server's answer.
case=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$case/../lib.sh"
begin

limits='"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}'
clusters='"clusters":[{"name":"cassa","health_path":"/healthz","max_connections":1990,"protocol":"h1","tls":false},{"name":"catalogo","health_path":"/healthz","max_connections":1522,"protocol":"h1","tls":false}]'
rule() { # NAME PREFIX
    echo '{"name":"'"$1"'","route_type":"unsafe","target_latency":"1500ms","priority":0,"match":{"path_prefix":"'"$2"'"},"action":{"service":"cassa","timeout":"6000ms","max_attempts":2}}'
}
start_store
publish '{"version":"00000001",'"$limits"',"listeners":[{"host":"museum.example","rules":['"$(rule r-shop /shop/)"']}],'"$clusters"'}'
start_daemon 1 catalogo sala-a
start_daemon 2 cassa sala-b
start_server 1 catalogo sala-a
start_server 2 cassa sala-b --slots=315 --work-ms=95
await_ready 1 2
sleep 5

note "clients begin"
orders=(--entries="$net.1:8304" --host=museum.example --method=POST --kind=unsafe --deadline-ms=6000)
clients "${orders[@]}" --path=/shop/tickets --per-s=10 --for-s=5
path=/shop/tickets
if [ "$trouble" != 0 ]; then
    publish '{"version":"00000004",'"$limits"',"listeners":[{"host":"museum.example","rules":['"$(rule r-shop /shop/),$(rule r-all /)"']}],'"$clusters"'}'
    path=/tickets
fi
sleep 5
[ "$trouble" = 0 ] || clients "${orders[@]}" --path=/basket/1 --per-s=5 --for-s=4
clients "${orders[@]}" --path=$path --per-s=10 --for-s=10
sleep 1

awk '
    $3 == "runs" { runs[$4]++ }
    $3 == "sends" { sent++; path[$4] = $6; kind[$4] = $7 }
    $3 == "gets" && $5 ~ /^2/ {
        served++
        if ($6 == "stamp=none") { mixed++; by[$5 " for " path[$4]]++; if (!($4 in runs)) lost++ }
    }
    END {
        printf "sent %d, success %d, without the signature %d, of these never run %d\n", \
            sent, served, mixed, lost
        for (each in by) printf "MIXED: %d times %s\n", by[each], each
        if (served == 0) exit 2
        exit (mixed > 0)
    }' "$record"
code=$?
exit $code
