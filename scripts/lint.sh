#!/usr/bin/env bash
# Checks formatting and runs the linter over every source; needs a configured build/. With --fix, formats in place.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
if [ "${1:-}" = "--fix" ]; then
    clang-format -i "${sources[@]}"
    exit 0
fi
clang-format --dry-run --Werror "${sources[@]}"
# GCC-only warning flags in the compilation database are unknown to clang.
printf '%s\n' "${sources[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet --extra-arg=-Wno-unknown-warning-option 2>build/lint.err \
    || { tail -50 build/lint.err; echo "lint: failed"; exit 1; }
echo "lint: clean"
