#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target cargo build --release --offline --locked \
    --manifest-path review/standins/Cargo.toml
