# The checks of scripts/process-faults, on its record sorted by time.
function contains(list, from, to,    times, i, n) {
    n = split(list, times, " ")
    for (i = 1; i <= n; ++i) if (times[i] >= from && times[i] <= to) return 1
    return 0
}
function overlaps(list, from, to,    spans, span, i, n) {
    n = split(list, spans, " ")
    for (i = 1; i <= n; ++i) {
        split(spans[i], span, ":")
        if (span[1] <= to && span[2] >= from) return 1
    }
    return 0
}
function report(text) { print "FAILED " text; ++failures }
$2 == "script" {
    key = $4 " " $5
    if ($3 == "address") nameOf[$5 ":"] = $4
    if ($3 == "start") { startedAt[key] = $1; ++starts }
    if ($3 == "ready") readyAt[key] = $1
    if ($3 == "memory" && $6 > peak) peak = $6
    if ($3 == "TERM") { terms[key] = terms[key] " " $1; ++termCount }
    if ($3 == "HUP") hups[key] = hups[key] " " $1
    if ($3 == "KILL") { kills[$4] = kills[$4] " " $1; killed[key] = 1 }
    if ($3 == "taken") takenSince[$4] = $1
    if ($3 == "given-back") takings[$4] = takings[$4] " " takenSince[$4] ":" $1
    if ($3 == "STOP") frozenSince[$4] = $1
    if ($3 == "CONT") freezes[$4] = freezes[$4] " " frozenSince[$4] ":" $1
    if ($3 == "server-kill") serverKills[$4] = serverKills[$4] " " $1
    if ($3 == "end") {
        endedAt[key] = $1
        age = $1 - startedAt[key]
        # A signal before the program's own code runs has its default action (docs/incidents/process-start.md).
        if (($6 == 143 || $6 == 129) && age < 60) { ++early; earlyEnds[$4] = earlyEnds[$4] " " $1 }
        else if ($6 == 137 && killed[key]) ++killEnds
        else if ($6 == 0 && terms[key] != "") ++plannedEnds
        else report("exit code " $6 " of " key " at " $1 ", " age " ms after its start; SIGTERM at" terms[key] ", SIGHUP at" hups[key])
    }
    if ($3 == "finished") finished = $1
}
$2 == "run" { runs[$4] = $3; if ($6 ~ /^\/orders\//) { if (++orderRuns[$6] > 1) report("order ran twice: " $0) } }
$2 == "lost" || $2 == "endless" || $2 == "crash" { spoiled[$4] = 1 }
$2 ~ /^(stream|moved|order|status)$/ && $3 ~ /^(first|retry)$/ { ++attempts; line[attempts] = $0 }
END {
    for (i = 1; i <= attempts; ++i) {
        n = split(line[i], f, " ")
        ++statuses[f[8]]
        if ((f[8] == 503 || f[8] == 429 || f[8] == 408 || f[8] == 421) && f[2] == "order" && f[5] in runs) report(f[8] " for an order that ran: " line[i])
        if (f[1] > finished - 6000) { ++late; if (f[8] == 200) ++lateServed }
        node = nameOf[f[7]]
        from = f[1] - f[10]
        # Another process has the port.
        if (overlaps(takings[node], from, f[1])) { ++atTaken; continue }
        if (f[8] ~ /^[34]/ && f[8] !~ /^(408|421|429)$/ && ++denied == 6) report("denied, the sixth: " line[i])
        if (f[8] != 0) continue
        if (line[i] !~ /connection (closed|reset)/) { ++unanswered; continue }
        server = runs[f[5]]
        gsub(/^i-|-[0-9]+$/, "", server)
        if (contains(kills[node] " " earlyEnds[node], from - 100, f[1] + 50)) ++cutByKill
        else if (f[5] in spoiled || contains(serverKills[server], from, f[1] + 50)) ++cutByServer
        else if (overlaps(freezes[node], from - 1000, f[1])) { ++cutFrozen; print "in a freeze: " line[i] (f[5] in runs ? " ran on " runs[f[5]] : " did not run") }
        else report("no answer: " line[i] (f[5] in runs ? " ran on " runs[f[5]] : " did not run"))
    }
    for (key in startedAt) {
        until = key in readyAt ? readyAt[key] : key in endedAt ? endedAt[key] : finished
        if (until - startedAt[key] > 15000) report("not ready after 15 s: " key " started at " startedAt[key])
        if (key in readyAt && readyAt[key] - startedAt[key] > slowest) slowest = readyAt[key] - startedAt[key]
    }
    if (peak > 260 * 1024) report("resident memory " peak " kB")
    if (lateServed * 4 < late) report("served in the last seconds: " lateServed + 0 " of " late)
    printf "attempts %d; processes started %d, SIGTERM %d, ended as planned %d, by SIGKILL %d, by a signal at their start %d\n", attempts, starts, termCount, plannedEnds, killEnds, early
    printf "without an answer: %d by SIGKILL of the node, %d by their server, %d in a freeze, %d with no answer in time or no connection\n", cutByKill, cutByServer, cutFrozen, unanswered
    for (status in statuses) list = list " " status ":" statuses[status]
    print "answers by status:" list
    printf "most memory %d kB, slowest start %d ms, served in the last seconds %d of %d, failures %d\n", peak, slowest, lateServed, late, failures
    exit failures > 0
}
