#!/usr/bin/env bash
# A server rejects some requests and, with trouble, sends a second copy of some of its responses a
# little later. A request that may run once at most must not run twice, nor run and be answered 503.
case=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$case/../lib.sh"
begin

extra=0
[ "$trouble" = 0 ] || extra=0.03
start_store
publish '{"version":"00000001","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"shop.example","rules":[{"name":"r-order","route_type":"unsafe","target_latency":"1500ms","priority":0,"match":{"path_prefix":"/order/"},"action":{"service":"cassa","timeout":"6000ms","max_attempts":2}}]}],"clusters":[{"name":"cassa","health_path":"/healthz","max_connections":1990,"protocol":"h1","tls":false},{"name":"catalogo","health_path":"/healthz","max_connections":1522,"protocol":"h1","tls":false}]}'
start_daemon 1 catalogo sala-a
start_daemon 2 cassa sala-a
start_daemon 3 cassa sala-b
start_daemon 4 cassa sala-c
start_server 1 catalogo sala-a
# Four spells of 5 s in which the servers reject 3 in 10 requests. Two of the three also send a second
# copy of 3 in 100 of their responses, 20 ms after the first.
faulty=(--slots=315 --work-ms=95 --shed=0.3 --spell-s=5 --pause-s=5)
start_server 2 cassa sala-a "${faulty[@]}" --extra=$extra --seed=$RANDOM
start_server 3 cassa sala-b "${faulty[@]}" --extra=$extra --seed=$RANDOM
start_server 4 cassa sala-c "${faulty[@]}" --seed=$RANDOM
await_ready 1 2 3 4
sleep 3

note "clients begin"
clients --entries="$net.1:8304" --host=shop.example --path=/order/1 --method=POST --kind=unsafe \
    --per-s=197 --for-s=38 --deadline-ms=6000
sleep 2

awk '
    $3 == "runs" { runs[$4]++ }
    $3 == "sends" { sent++ }
    $3 == "gets" && ($5 == 503 || $5 == 429 || $5 == 408 || $5 == 421) { refused[$4] = $5 }
    $3 == "gets" && $5 == 200 { served++ }
    $3 == "rejects" { rejected++ }
    $3 == "answers-again" { again++ }
    END {
        for (id in runs) {
            if (runs[id] > 1) twice++
            if (id in refused) wrong++
        }
        printf "sent %d, served %d, rejected by servers %d, second copies %d\n", \
            sent, served, rejected, again
        printf "TWICE: ran more than once %d\nREFUSED: answered as not run, but ran %d\n", \
            twice, wrong
        if (served < sent / 2) exit 2
        exit (twice + wrong > 0)
    }' "$record"
code=$?
exit $code
