#!/usr/bin/env bash
# Installs what is missing and builds every program and test into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j "${BUILD_JOBS:-$(nproc)}" "$@"
