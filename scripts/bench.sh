#!/usr/bin/env bash
# Builds and runs the bench; results go to build/bench/results.jsonl. Options are passed on to `build/bench/bench run`.
# Ends with a status other than 0 if a target is missed.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
rm -f build/bench/results.jsonl
build/bench/bench run --out build/bench/results.jsonl "$@"
