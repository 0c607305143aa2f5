#!/usr/bin/env bash
# Runs three entry VMs and the stand-ins as processes of their own on this machine and measures the
# edges under load and faults. Usage: scripts/bench-edges.sh [PROFILE_DIR] [KNEE]; the base port is
# BASILBRIDGE_BASE_PORT. Each step is bounded in time and count.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${1:-target/release}
knee=${2:-2000}
port=${BASILBRIDGE_BASE_PORT:-7700}
team_key=try-basilbridge
operator_key=operate-basilbridge
pids=()
logs=$(mktemp -d)
stop() {
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -r "$logs"
}
trap stop EXIT

"$bin/basilbridge-standins" --platform "127.0.0.1:$port" --data-centres north,east,south >"$logs/standins" &
pids+=($!)
start_vm() {
    local base=$((port + 10 + $1 * 10)) names=(north east south)
    "$bin/basilbridged" --name "entry-${names[$1]}" --data-centre "${names[$1]}" --platform "127.0.0.1:$port" \
        --callers "127.0.0.1:$base" --operators "127.0.0.1:$((base + 1))" --peers "127.0.0.1:$((base + 2))" \
        --bootstrap-key "$operator_key" --log-format json --log-level error 2>>"$logs/vm-$1" &
    vms[$1]=$!
    pids+=($!)
}
vms=()
for i in 0 1 2; do start_vm "$i"; done
callers="127.0.0.1:$((port + 10)),127.0.0.1:$((port + 20)),127.0.0.1:$((port + 30))"
operators="127.0.0.1:$((port + 11))"
hash=$(printf %s "$team_key" | sha256sum | cut -d' ' -f1)
cat >"$logs/configuration.json" <<JSON
{"teams": [{"name": "workshop", "share": 1, "keys": ["$hash"]}], "queues": [{"name": "checks"}, {"name": "plans"}]}
JSON
for _ in $(seq 50); do
    if "$bin/basilbridge" --operator-key "$operator_key" --operators "$operators" \
        configuration "$logs/configuration.json" >"$logs/set" 2>"$logs/err"; then break; fi
    sleep 0.2
done
load() { # RATE SECONDS
    timeout $(($2 + 30)) "$bin/examples/edges" --callers "$callers" --operators "$operators" --key "$team_key" \
        --operator-key "$operator_key" --rate "$1" --seconds "$2"
}
usage() { # prints processor time in ticks and resident memory in KiB of each VM
    for i in 0 1 2; do
        awk -v i="$i" '{print "vm " i ": ticks " $14 + $15}' "/proc/${vms[$i]}/stat" 2>/dev/null || true
        awk -v i="$i" '/VmRSS/ {print "vm " i ": rss " $2 " KiB"}' "/proc/${vms[$i]}/status" 2>/dev/null || true
    done
}
store() { # true or false
    exec 3<>"/dev/tcp/127.0.0.1/$port"
    local body="{\"down\":$1,\"delay_ms\":0,\"lose_answers\":0,\"writes_per_second\":400,\"reads_per_second\":2000}"
    printf 'PUT /standin/switches HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: %s\r\n\r\n%s' "${#body}" "$body" >&3
    head -1 <&3
    exec 3>&-
}
sleep 5
echo "== warm-up"; load 100 3
echo "== idle for 10 s (ticks of $(getconf CLK_TCK) a second)"; usage; sleep 10; usage
echo "== half load"; usage; load $((knee / 2)) 10; usage
echo "== knee"; load "$knee" 5
echo "== twice the knee"; load $((knee * 2)) 5
echo "== store down from second 3 to 8 of 15"
(sleep 3; store true; sleep 5; store false) & pids+=($!)
load $((knee / 4)) 15
echo "== one VM paused from second 3 to 8 of 15"
(sleep 3; kill -STOP "${vms[1]}"; sleep 5; kill -CONT "${vms[1]}") & pids+=($!)
load $((knee / 4)) 15
echo "== one VM killed at second 3 of 15; callers are sent to it all along"
(sleep 3; kill -9 "${vms[2]}") & pids+=($!)
load $((knee / 4)) 15
