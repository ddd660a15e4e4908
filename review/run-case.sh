#!/usr/bin/env bash
# Runs the case $1, with its record in the folder $2.
set -uo pipefail
cd "$(dirname "$0")/.."
program=target/release/review-standins
[ -x "$program" ] && [ -x target/release/briarladderd ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 9 110 "$program" "$1" "$folder" "review/$2/record.txt"
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"
[ "$status" -le 1 ] || status=2
exit "$status"
