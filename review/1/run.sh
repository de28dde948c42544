#!/usr/bin/env bash
# Model servers that follow the head of some answers with bytes without end (claim.txt).
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../standin/lib.sh"

seconds=80
# The limit of the site's machines.
memory_mb=260
start_store
put_configuration '{"version":3,"routes":[
 {"name":"review","host":"desk.example","pathPrefix":"/tickets/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":2500,"priority":1,"service":"prepress-llm","attempts":2,"sessionAffinity":true,"canResume":false,"gapAimMs":150}],
 "services":[{"name":"prepress-llm","healthPath":"/health","connectionLimit":290,"protocol":"h1","tls":false,"engine":{"slots":16,"kvCacheTokens":130139,"kvTokenBytes":131072,"stride":6,"maxCount":12,
  "models":[{"name":"m1","weightSize":16100.0,"loadTimeS":1.3,"adapters":0,"adapterMb":14.0,"warmS":0.27,"diskS":0.35}],"weightSize":83000.0,"adapterSlots":8,"loadsPerS":2.2}}],
 "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}'
servers=()
for name in a b c d; do
    free_port port
    servers+=("127.0.0.1:$port")
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

"$standins/clients" review stream "$nodes" desk.example /tickets/% 30 $seconds 10000 "$record" m1 aa01:92,bb02:40,%:251 >"$work/review" &
clients=$!
sleep 3
if [ "$trouble" != 0 ]; then
    # Two of the four servers, 0.03 of their answers.
    note "two servers spoil answers"
    for address in "${servers[@]:0:2}"; do http POST "$address" '/standin/set?endless=0.03' >/dev/null; done
fi

# The platform: ends a process over the limit of its memory, and starts it again.
ends_1=0
ends_2=0
most_mb=0
end=$((SECONDS + seconds))
while [ "$SECONDS" -lt "$end" ]; do
    sleep 0.1
    for name in 1 2; do
        pid=$(cat "$work/node-front-$name.pid")
        kb=$(awk '$1 == "VmRSS:" { print $2 }' "/proc/$pid/status" 2>/dev/null)
        [ $((${kb:-0} / 1024)) -gt "$most_mb" ] && most_mb=$((kb / 1024))
        [ -n "$kb" ] && [ "$kb" -le $((memory_mb * 1024)) ] && continue
        kill -KILL "$pid" 2>/dev/null
        note "node front-$name ended with $((${kb:-0} / 1024)) MB"
        printf -v "ends_$name" '%s' "$(($([ "$name" = 1 ] && echo "$ends_1" || echo "$ends_2") + 1))"
        sleep 0.5
        restart_node "front-$name"
    done
done
wait "$clients"
cat "$work/review" | tee -a "$record"
echo "ends over $memory_mb MB: front-1 $ends_1, front-2 $ends_2; most memory seen: $most_mb MB" | tee -a "$record"
grep -q 'served [1-9]' "$work/review" || cannot_run "no request was served"
# Fault: on a tenth of the machines in use (two at least) processes end by themselves three times in the day; memory over the limit counts.
if [ "$ends_1" -ge 3 ] && [ "$ends_2" -ge 3 ]; then
    echo "broken: the processes of two machines ended three times or more" | tee -a "$record"
    finish 1
fi
echo "held" | tee -a "$record"
finish 0
