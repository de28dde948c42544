#!/usr/bin/env bash
# A prompt part that crashes model servers, and sound requests of the same route (claim.txt).
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../standin/lib.sh"

calm_seconds=12
seconds=70
start_store
put_configuration '{"version":3,"routes":[
 {"name":"review","host":"desk.example","pathPrefix":"/tickets/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":400,"priority":1,"service":"prepress-llm","attempts":2,"sessionAffinity":true,"canResume":false,"gapAimMs":150}],
 "services":[{"name":"prepress-llm","healthPath":"/health","connectionLimit":290,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCacheTokens":130139,"kvTokenBytes":131072,"stride":6,"maxCount":12,
  "models":[{"name":"m1","weightSize":16100.0,"loadTimeS":1.3,"adapters":0,"adapterMb":14.0,"warmS":0.27,"diskS":0.35}],"weightSize":83000.0,"adapterSlots":8,"loadsPerS":2.2}}],
 "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}'
for name in a b c d e f; do
    free_port port
    start_server "$name" "127.0.0.1:$port" 2 prepress-llm sul-a 8 40 "$store" "$record" m1 1300 dead01 held
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

"$standins/clients" sound stream "$nodes" desk.example /tickets/review 20 $seconds 12000 "$record" m1 aa01:92,bb02:40,%:251 >"$work/sound" &
sound_clients=$!
sleep $calm_seconds
note "poison begins"
if [ "$trouble" != 0 ]; then
    "$standins/clients" poison stream "$nodes" desk.example /tickets/review 1 $((seconds - calm_seconds)) 12000 "$record" m1 aa01:92,dead01:40,%:251 >"$work/poison" &
    poison_clients=$!
fi
wait "$sound_clients" ${poison_clients:+"$poison_clients"}
cat "$work"/sound "$work"/poison 2>/dev/null | tee -a "$record"
grep -h 'crashed' "$work"/front-*.log | head -2 >>"$record"
[ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"

# LOST: from 2 x stableWindowMs (3,000 ms) after the fifth crash (the last, if there are fewer), sound requests begin at the first attempt less than half as
# often as outside unplanned disruption; 20 or more of each.
sort -n "$record" | awk '
    $2 == "script" { poison = $1 }
    $2 == "crash" { if (++crashes <= 5) crashed = $1 }
    $2 == "sound" && $3 == "first" && !poison { before++; begunBefore += ($8 == 200) }
    { lines[NR] = $0 }
    END {
        from = (crashed ? crashed : poison) + 6000
        for (i = 1; i <= NR; ++i) {
            split(lines[i], f, " ")
            if (f[2] == "sound" && f[3] == "first" && f[1] > from) { after++; begunAfter += (f[8] == 200) }
        }
        printf "crashes %d; sound requests begun at the first attempt: %d of %d before, %d of %d after\n", crashes, begunBefore, before, begunAfter, after
        if (before < 20 || after < 20) exit 2
        exit begunAfter / after < begunBefore / before / 2 ? 1 : 0
    }' | tee -a "$record"
verdict=${PIPESTATUS[1]}
[ "$verdict" = 1 ] && echo "broken: after the crashes, sound requests begin less than half as often as before" | tee -a "$record"
[ "$verdict" = 0 ] && echo "held" | tee -a "$record"
finish "$verdict"
