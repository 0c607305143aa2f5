#!/usr/bin/env bash
# Runs three entry VMs and the stand-ins as processes of their own on this machine, submits work
# through each VM, and prints what the workers counted. Usage: scripts/three-vms.sh [PROFILE_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${1:-target/debug}
port=${BASILBRIDGE_BASE_PORT:-7500}
team_key=try-basilbridge
operator_key=operate-basilbridge
pids=()
logs=$(mktemp -d)
stop() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -r "$logs"
}
trap stop EXIT

"$bin/basilbridge-standins" --platform "127.0.0.1:$port" --data-centres north,east,south >"$logs/standins" &
pids+=($!)
i=0
for dc in north east south; do
    base=$((port + 10 + i * 10))
    "$bin/basilbridged" --name "entry-$dc" --data-centre "$dc" --platform "127.0.0.1:$port" \
        --callers "127.0.0.1:$base" --operators "127.0.0.1:$((base + 1))" --peers "127.0.0.1:$((base + 2))" \
        --bootstrap-key "$operator_key" --log-format json 2>"$logs/$dc" &
    pids+=($!)
    i=$((i + 1))
done
cli() { "$bin/basilbridge" --key "$team_key" --operator-key "$operator_key" "$@"; }
first=$((port + 10))
document="$logs/configuration.json"
hash=$(printf %s "$team_key" | sha256sum | cut -d' ' -f1)
cat >"$document" <<JSON
{"teams": [{"name": "workshop", "share": 1, "keys": ["$hash"]}], "queues": [{"name": "checks"}, {"name": "plans"}]}
JSON
for _ in $(seq 50); do
    if cli --operators "127.0.0.1:$((first + 1))" configuration "$document" >"$logs/set" 2>"$logs/err"; then break; fi
    sleep 0.2
done
for i in 0 1 2; do
    at="127.0.0.1:$((first + i * 10))"
    for _ in $(seq 50); do
        if cli --callers "$at" submit --queue checks --kind interactive "glue through $at" 2>"$logs/err"; then break; fi
        sleep 0.2
    done
done
job=$(cli --json --callers "127.0.0.1:$first" submit --queue plans --kind batch --count 4 '{"run_ms":50,"output":"rebound"}' |
    sed -n 's/^  "id": "\(.*\)",$/\1/p')
echo "job $job, waited for through another VM:"
cli --callers "127.0.0.1:$((first + 10))" wait "$job"
