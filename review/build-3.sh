#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start beside the daemon, without a network. The
# daemon itself comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml \
    --target-dir target/review-3
