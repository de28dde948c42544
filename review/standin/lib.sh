# Functions of the review's scripts. A script sets "case_dir" and sources this file; "work" is its temporary folder.
# All processes that were started are ended at the end of the script, by their ids.
repository=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
standins=$repository/review/build
node_program=${NODE_PROGRAM:-$repository/target/bin/chervilbend}
work=$(mktemp -d)
record=$case_dir/record.txt
trouble=${TROUBLE:-1}
pids=()

finish() {
    trap - EXIT
    local pid
    # Supervisors first, so that they start nothing again; the jobs are clients.
    for pid in "${pids[@]}" $(jobs -p); do kill -KILL "$pid" 2>/dev/null; done
    for pid in "$work"/*.pid; do [ -f "$pid" ] && kill -KILL "$(cat "$pid")" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
    exit "$1"
}
trap 'finish 2' EXIT INT TERM

cannot_run() {
    echo "cannot run: $*" | tee -a "$record"
    finish 2
}

note() {
    echo "$(date +%s%3N) script $*" >>"$record"
}

# Sets the variable $1 to a free port of 127.0.0.1 below the range of ephemeral ports.
used_ports=" "
free_port() {
    local candidate
    while true; do
        candidate=$((20000 + RANDOM % 12000))
        [[ $used_ports == *" $candidate "* ]] && continue
        (exec 3<>"/dev/tcp/127.0.0.1/$candidate") 2>/dev/null && continue
        used_ports+="$candidate "
        printf -v "$1" '%s' "$candidate"
        return
    done
}

# await SECONDS COMMAND...: polls until the command succeeds.
await() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -ge "$end" ] && return 1
        sleep 0.1
    done
}

# http METHOD ADDRESS TARGET [BODY]: prints the status of the answer.
http() {
    local line
    exec 4<>"/dev/tcp/${2%:*}/${2#*:}" || return 1
    printf '%s %s HTTP/1.1\r\nHost: standin\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' "$1" "$3" "${#4}" "${4:-}" >&4
    read -r -t 2 line <&4
    exec 4>&-
    echo "${line:9:3}"
}

is_ready() { [ "$(http GET "$1" /api/readiness 2>/dev/null)" = 200 ]; }

start_store() {
    free_port port
    store=127.0.0.1:$port
    "$standins/store" "$store" 1200 &
    pids+=($!)
    disown
    await 5 http GET "$store" / || cannot_run "the store does not answer"
}

# put_configuration JSON
put_configuration() {
    [ "$(http POST "$store" '/standin/put?topic=keyed.op&key=config' "$1")" = 200 ] || cannot_run "the store does not take the configuration"
}

# start_server NAME ADDRESS RESTART_SECONDS ARGUMENT...: starts a server, and again under another id after it has ended.
start_server() {
    local name=$1 address=$2 pause=$3
    shift 3
    (
        life=1
        while true; do
            "$standins/server" "$address" "i-$name-$life" "$@" &
            echo $! >"$work/server-$name.pid"
            wait $!
            rm -f "$work/server-$name.pid"
            life=$((life + 1))
            sleep "$pause" &
            echo $! >"$work/pause-$name.pid"
            wait $!
            rm -f "$work/pause-$name.pid"
            # Only the first process holds a model at its start.
            [ "${!#}" = held ] && set -- "${@:1:$#-1}"
        done
    ) &
    pids+=($!)
    disown
}

server_pid() { cat "$work/server-$1.pid"; }

# start_node NAME ZONE: with the settings that deploy/node.yaml renders; sets node_listen and node_ready.
start_node() {
    local listen ready peer metrics
    free_port listen
    free_port ready
    free_port peer
    free_port metrics
    node_listen=127.0.0.1:$listen
    node_ready=127.0.0.1:$ready
    cat >"$work/$1.yaml" <<END
node: $1
zone: $2
listen: 127.0.0.1:$listen
readyListen: 127.0.0.1:$ready
peerListen: 127.0.0.1:$peer
metadataStore: $store
metricsListen: 127.0.0.1:$metrics
jsonLog: true
balancerWait: 2500 ms
processorShare: 0.25
linkRate: 1000.0
shutdownBound: 8 s
drainTime: 2000 ms
commandGap: 3000 ms
enginesCheckFencing: true
retryShare: 0.2
retryBurst: 52
loadWindow: 5 s
loadOvershoot: 1.1
END
    restart_node "$1"
}

# restart_node NAME: starts the process of a node again, with the same settings.
restart_node() {
    CHERVILBEND_NODE_FILE=$work/$1.yaml "$node_program" >>"$work/$1.log" 2>&1 &
    echo $! >"$work/node-$1.pid"
    disown
}

rm -f "$record"
[ -x "$node_program" ] || cannot_run "target/bin/chervilbend is not built"
[ -x "$standins/store" ] || cannot_run "review/build.sh has not been run"
