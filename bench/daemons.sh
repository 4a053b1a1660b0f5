#!/usr/bin/env bash
# Starts the daemons of one cell on loopback, without callers, and prints for each number
# of daemons the average use of one daemon: CPU time, resident memory, and bytes written
# and read (sockets and log, from /proc/PID/io). Stops all processes that it started.
#
#   bench/daemons.sh 8 16 32 64
#
# UPSTREAMS=N applies a service text with one pool for each daemon and N plain
# upstreams in each pool; nothing listens at their loopback addresses. BIN is the
# directory of the programs (default: bin). SECONDS_EACH is the length of each
# measurement in seconds (default: 20).
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-$PWD/bin}
dir=$(mktemp -d)
pids=()
upstreams=${UPSTREAMS:-0}
seconds=${SECONDS_EACH:-20}
ticks=$(getconf CLK_TCK)

stop() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    pids=()
}
trap '[ -z "${KEEP:-}" ] || cp -r "$dir" "$KEEP"; stop; rm -rf "$dir"' EXIT

# standin NAME ARGS... starts a stand-in and sets the variable NAME to its address.
standin() {
    local name=$1; shift
    "$bin/rattanstandin" "$@" -listen 127.0.0.1:0 >"$dir/$name.out" 2>&1 &
    pids+=($!)
    for _ in $(seq 100); do grep -q addr= "$dir/$name.out" && break; sleep 0.05; done
    printf -v "$name" %s "$(sed -n 's/.*addr=//p' "$dir/$name.out" | head -1)"
}

settings() { # NAME DATA-CENTRE PORT: writes the settings of a daemon
    cat >"$dir/$1.yaml" <<END
host: {name: $1, data-centre: $2}
listen: {caller: "127.0.0.1:$3", operator: "127.0.0.1:$(($3 + 1))", peer: "127.0.0.1:$(($3 + 2))"}
platform: {table: dynamo, table-url: "http://$table", host-list-url: "http://$hostlist", access-key: bench, secret-key: bench}
keys: {resume: bench-resume-key-0, peer: bench-peer-key-000, operators: {ops: bench-operator-key}, accounts: {guides: bench-guides-key-0}}
drain: {announce: 0s, limit: 0s}
END
}

apply_text() { # COUNT: applies a service text with one pool for each of COUNT daemons
    {
        printf 'version: 1\ndata-centres: [praha-1, praha-2, praha-3, praha-4]\npools:\n'
        for i in $(seq "$1"); do
            printf '  - {name: pool-%d, kind: plain, data-centre: praha-%d, limits: {cold-requests: 4, max-requests: 32}, upstreams: [' "$i" $((i % 4 + 1))
            for u in $(seq "$upstreams"); do printf '{name: u%d-%d, address: "%s"}, ' "$i" "$u" "127.$((1 + u)).$((1 + i)).1:9"; done
            printf ']}\n'
        done
        printf 'services:\n  - {name: pickup, versions: [{name: v1, pools: [pool-1], share: 100}]}\naccounts:\n  - {name: guides}\n'
    } >"$dir/service.yaml"
    for _ in $(seq 60); do
        "$bin/rattanctl" apply -addr "127.0.0.1:$((port + 1))" -wait -timeout 20s "$dir/service.yaml" >"$dir/apply.out" 2>&1 && return
        sleep 0.5
    done
    cat "$dir/apply.out"; exit 1
}

# sample PID prints the PID, CPU time in clock ticks, resident KiB, bytes written and bytes
# read.
sample() {
    local stat rss io
    stat=$(sed 's/.*) //' "/proc/$1/stat" | awk '{print $12 + $13}')
    rss=$(awk '/^VmRSS/ {print $2}' "/proc/$1/status")
    io=$(awk '/^wchar/ {w = $2} /^rchar/ {r = $2} END {print w, r}' "/proc/$1/io")
    echo "$1 $stat $rss $io"
}

export RATTAN_KEY=bench-operator-key
port=${BENCH_PORT:-21000}
echo "daemons  core-%  resident-MB  sent-B/s  received-B/s"
for count in "$@"; do
    standin table table
    list=""
    for i in $(seq "$count"); do list+="${list:+,}$(printf '{"name":"praha-%d-host-%04d","address":"127.0.0.1:%d"}' $((i % 4 + 1)) "$i" $((port + 10 * i + 2)))"; done
    standin hostlist hostlist -hosts "[$list]"
    daemons=()
    for i in $(seq "$count"); do
        name=$(printf 'praha-%d-host-%04d' $((i % 4 + 1)) "$i")
        settings "$name" "praha-$((i % 4 + 1))" $((port + 10 * i))
        "$bin/rattanscaled" -config "$dir/$name.yaml" 2>"$dir/$name.log" &
        pids+=($!); daemons+=($!)
    done
    for _ in $(seq 60); do # until the first daemon shows all daemons as ready
        members=$("$bin/rattanctl" status -addr "127.0.0.1:$((port + 11))" -output json 2>/dev/null | grep -c '"ready": true' || true)
        [ "$members" -ge "$count" ] && break
        sleep 0.5
    done
    if [ "$upstreams" -gt 0 ]; then port=$((port + 10)) apply_text "$count"; fi
    sleep 5 # lets traffic from the joins end before the measurement
    for pid in "${daemons[@]}"; do sample "$pid"; done >"$dir/before"
    sleep "$seconds"
    for pid in "${daemons[@]}"; do sample "$pid"; done >"$dir/after"
    paste -d ' ' "$dir/before" "$dir/after" | awk -v n="$count" -v s="$seconds" -v hz="$ticks" '
        {cpu += $7 - $2; rss += $8; sent += $9 - $4; received += $10 - $5}
        END {printf "%7d  %6.2f  %11.1f  %8.0f  %12.0f\n", n, 100 * cpu / hz / s / n, rss / 1024 / n, sent / s / n, received / s / n}'
    [ -z "${SHOW_STATUS:-}" ] || "$bin/rattanctl" status -addr "127.0.0.1:$((port + 11))" | head -12
    stop
done
