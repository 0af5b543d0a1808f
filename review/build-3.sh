#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, after the build of the
# deploy file and without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/lib-3/Cargo.toml --target-dir target/review-3
