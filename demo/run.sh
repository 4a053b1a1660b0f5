#!/usr/bin/env bash
# Starts stand-ins and three daemons in two data centres on loopback, streams one long
# generation, repeats a call with one idempotency key, takes a data centre out and brings
# it back, and prints the timeline of all hosts. Stops all processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
dir=$(mktemp -d)
pids=()

stop() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$dir"
}
trap stop EXIT

# standin NAME ARGS... starts a stand-in and sets the variable NAME to its address.
standin() {
    local name=$1; shift
    "$bin/rattanstandin" "$@" -listen 127.0.0.1:0 >"$dir/$name.out" 2>&1 &
    pids+=($!)
    for _ in $(seq 100); do
        grep -q addr= "$dir/$name.out" && break
        sleep 0.05
    done
    printf -v "$name" %s "$(sed -n 's/.*addr=//p' "$dir/$name.out" | head -1)"
}

# daemon NAME DATA-CENTRE PORT starts a daemon that serves callers on PORT, operators on
# PORT+1 and peers on PORT+2.
daemon() {
    cat >"$dir/$1.yaml" <<EOF
host: {name: $1, data-centre: $2}
listen: {caller: "127.0.0.1:$3", operator: "127.0.0.1:$(($3 + 1))", peer: "127.0.0.1:$(($3 + 2))"}
platform: {table: dynamo, table-url: "http://$table", host-list-url: "http://$hostlist", access-key: demo, secret-key: demo}
keys:
  resume: demo-resume-key-0
  peer: demo-peer-key-000
  operators: {ops: demo-operator-key}
  accounts: {guides: demo-guides-key-0}
drain: {announce: 0s, limit: 1s}
EOF
    "$bin/rattanscaled" -config "$dir/$1.yaml" >"$dir/$1.log" 2>&1 &
    pids+=($!)
}

port=${DEMO_PORT:-18400}
standin table table
host() { printf '{"name":"%s","address":"127.0.0.1:%d"}' "$1" "$2"; }
standin hostlist hostlist -hosts "[$(host h1 $((port + 2))),$(host h2 $((port + 12))),$(host h3 $((port + 22)))]"
standin e1 engine -base-step 5ms
standin e2 engine -base-step 5ms
standin p1 plain
standin p2 plain
daemon h1 praha-1 "$port"
daemon h2 praha-1 $((port + 10))
daemon h3 praha-2 $((port + 20))
cat >"$dir/service.yaml" <<EOF
version: 1
data-centres: [praha-1, praha-2]
pools:
  - {name: model-1, kind: engine, data-centre: praha-1, fencing: refuses-old, limits: {cold-requests: 4, max-requests: 16, memory-tokens: 65536, target-step: 62ms}, upstreams: [{name: e1, address: "$e1"}]}
  - {name: model-2, kind: engine, data-centre: praha-2, fencing: refuses-old, limits: {cold-requests: 4, max-requests: 16, memory-tokens: 65536, target-step: 62ms}, upstreams: [{name: e2, address: "$e2"}]}
  - {name: booking-1, kind: plain, data-centre: praha-1, fencing: ignores, limits: {cold-requests: 4, max-requests: 32}, upstreams: [{name: p1, address: "$p1"}]}
  - {name: booking-2, kind: plain, data-centre: praha-2, fencing: ignores, limits: {cold-requests: 4, max-requests: 32}, upstreams: [{name: p2, address: "$p2"}]}
services:
  - {name: narration, delivery: restart, repeatable: true, deadline: 30s, versions: [{name: v1, model: oldtown, pools: [model-1, model-2], share: 100}]}
  - {name: booking, repeatable: false, deadline: 10s, versions: [{name: v1, pools: [booking-1, booking-2], share: 100}]}
accounts:
  - {name: guides, share: 1, max-queued: 100}
EOF

export RATTAN_KEY=demo-operator-key RATTAN_ADDR=127.0.0.1:$((port + 1))
callers=127.0.0.1:$port,127.0.0.1:$((port + 10)),127.0.0.1:$((port + 20))
say() { printf '\n== %s\n' "$*"; }

say "service text"
for _ in $(seq 100); do
    "$bin/rattanctl" apply -wait -timeout 20s "$dir/service.yaml" 2>"$dir/apply.err" && applied=1 && break
    sleep 0.2
done
[ "${applied:-}" ] || { cat "$dir/apply.err" "$dir"/*.log; exit 1; }
"$bin/rattanctl" status

say "a long generation"
"$bin/rattanctl" request generate -addr "$callers" -key demo-guides-key-0 -accept-restart narration "Old Town, tokens=1000" | tail -c 300

say "a call that must not be repeated, sent twice with one key"
"$bin/rattanctl" request call -addr "$callers" -key demo-guides-key-0 -idempotency-key demo-1 booking '{"pickup":"Charles Bridge"}'
"$bin/rattanctl" request call -addr "$callers" -key demo-guides-key-0 -idempotency-key demo-1 booking '{"pickup":"Charles Bridge"}'

say "data centre praha-1 out"
"$bin/rattanctl" data-centre take-out -wait praha-1
"$bin/rattanctl" request generate -addr "$callers" -key demo-guides-key-0 -accept-restart -quiet narration "tokens=200"
"$bin/rattanctl" status
say "data centre praha-1 back"
"$bin/rattanctl" data-centre bring-back -wait praha-1
"$bin/rattanctl" request generate -addr "$callers" -key demo-guides-key-0 -accept-restart -quiet narration "tokens=200"

say "timeline of all hosts"
"$bin/rattanctl" timeline
