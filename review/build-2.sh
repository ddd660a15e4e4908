#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 and their stand-ins, without a
# network, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target cargo build --release --offline \
    --manifest-path review/cases-2/Cargo.toml
