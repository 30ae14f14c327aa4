#!/usr/bin/env bash
# Builds the stand-ins of the review's script cases into target/review/. Needs the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++17 -O1 -Iinclude -Isrc -Iplatform -Itests -Itarget/generated)
libraries=(target/libplantainwall_platform.a target/libplantainwall_core.a -lcpprest -lboost_system -lboost_thread
    -lssl -lcrypto -llog4cplus -lxxhash -lz -lpthread)
g++ "${flags[@]}" review/standin/key_move.cpp tests/support_kv_store.cpp tests/support_line_group.cpp \
    -o target/review/key_move "${libraries[@]}"
