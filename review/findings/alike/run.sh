#!/usr/bin/env bash
# Status requests that are alike, and servers that lose some answers for five seconds (NOTE.txt).
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../../standin/lib.sh"

seconds=96
start_store
put_configuration '{"version":3,"routes":[
 {"name":"status","host":"desk.example","pathPrefix":"/jobs/","kind":"safe","timeoutMs":2500,"targetLatencyMs":150,"priority":2,"service":"platedesk","attempts":2},
 {"name":"orders","host":"desk.example","pathPrefix":"/orders/","kind":"unsafe","timeoutMs":2500,"targetLatencyMs":150,"priority":1,"service":"platedesk","attempts":2},
 {"name":"coach","host":"desk.example","pathPrefix":"/tickets/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":400,"priority":1,"service":"prepress-llm","attempts":2,"sessionAffinity":true,"canResume":false,"gapAimMs":150}],
 "services":[{"name":"platedesk","healthPath":"/health","connectionLimit":290,"protocol":"h1","tls":false},
  {"name":"prepress-llm","healthPath":"/health","connectionLimit":290,"protocol":"h1","tls":false,"engine":{"slots":16,"kvCacheTokens":130139,"kvTokenBytes":131072,"stride":6,"maxCount":12,
  "models":[{"name":"m1","weightSize":16100.0,"loadTimeS":1.3,"adapters":0,"adapterMb":14.0,"warmS":0.27,"diskS":0.35}],"weightSize":83000.0,"adapterSlots":8,"loadsPerS":2.2}}],
 "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}'
servers=()
for name in a b c d; do
    free_port port
    servers+=("127.0.0.1:$port")
    start_server "$name" "127.0.0.1:$port" 2 platedesk sul-a 6 30 "$store" "$record"
done
for name in e f g h; do
    free_port port
    start_server "$name" "127.0.0.1:$port" 2 prepress-llm sul-a 16 40 "$store" "$record" m1 1300 none held
done
for name in 1 2; do
    start_node "front-$name" sul-a
    nodes+=${nodes:+,}$node_listen
    ready+=("$node_ready")
done
for address in "${ready[@]}"; do
    await 15 is_ready "$address" || cannot_run "a node is not ready"
done
sleep 4

"$standins/clients" coach stream "$nodes" desk.example /tickets/% 70 $seconds 12000 "$record" m1 aa01:92,bb02:40,%:251 >"$work/coach" &
coach_clients=$!
"$standins/clients" status safe "$nodes" desk.example /jobs/on-press 20 $seconds 2500 "$record" >"$work/status" &
status_clients=$!
"$standins/clients" orders unsafe "$nodes" desk.example /orders/% 10 $seconds 2500 "$record" >"$work/orders" &
order_clients=$!

# Three times, two of the four servers lose the answers of 0.4 of the requests that they ran, for 5 s.
for pause in 5 26 26; do
    sleep "$pause"
    [ "$trouble" = 0 ] && continue
    note "two servers lose answers"
    for address in "${servers[@]:0:2}"; do http POST "$address" '/standin/set?lost=0.4' >/dev/null; done
    sleep 5
    for address in "${servers[@]:0:2}"; do http POST "$address" '/standin/set?lost=0' >/dev/null; done
    note "all servers are sound"
done
wait "$coach_clients" "$status_clients" "$order_clients"
cat "$work/coach" "$work/status" "$work/orders" | tee -a "$record"
grep -h 'crashed' "$work"/front-*.log | head -2 >>"$record"
[ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"

read -r _ _ status_sent _ status_served <"$work/status"
read -r _ _ orders_sent _ orders_served <"$work/orders"
read -r _ _ coach_sent _ coach_served <"$work/coach"
sent=$((status_sent + orders_sent + coach_sent))
served=$((status_served + orders_served + coach_served))
[ "${status_sent:-0}" -gt 500 ] && [ "${coach_sent:-0}" -gt 500 ] || cannot_run "too few requests were sent"
# Starved: a kind of request is served less than a quarter as often as all requests.
if [ $((status_served * sent * 4)) -lt $((served * status_sent)) ]; then
    echo "broken: status requests are served less than a quarter as often as all requests" | tee -a "$record"
    finish 1
fi
echo "held" | tee -a "$record"
finish 0
